import test from 'ava'
import { chooseEndpointForCall, EndpointTable } from '@cyclamenthread/state'
import { endpointEntry } from '@cyclamenthread/state/testing'
import type { NetworkLocation } from '@cyclamenthread/state'

const LOCATION: NetworkLocation = {
  failureDomain: 'leith-walk',
  region: 'lothian',
  regions: { 'leith-walk': 'lothian', grassmarket: 'lothian', castlegate: 'grampian' }
}

const DEMAND = { service: 'desk', excluded: new Set<string>(), typicalMs: 40 }

function deskEndpoints (): EndpointTable {
  const board = new EndpointTable()
  board.update([
    endpointEntry('near', { service: 'desk' }),
    endpointEntry('far', { service: 'desk', failureDomain: 'castlegate' })
  ])
  return board
}

test('steady bookings: the nearest endpoint is taken', (t) => {
  t.is(chooseEndpointForCall(deskEndpoints(), DEMAND, LOCATION, 0)?.entry.id, 'near')
})

test('one desk turned slow: bookings go to the far one, which answers sooner', (t) => {
  const board = deskEndpoints()
  board.recordPace('near', 160, 0)
  t.is(chooseEndpointForCall(board, DEMAND, LOCATION, 10)?.entry.id, 'far')
})

test('a burst of bookings: a full endpoint is passed over', (t) => {
  const board = deskEndpoints()
  for (let call = 0; call < 8; call += 1) board.startWork('near')
  t.is(chooseEndpointForCall(board, DEMAND, LOCATION, 0)?.entry.id, 'far')
})

test('an endpoint that a call was sent to is not chosen for it again', (t) => {
  t.is(chooseEndpointForCall(deskEndpoints(), { ...DEMAND, excluded: new Set(['near', 'far']) }, LOCATION, 0), undefined)
})
