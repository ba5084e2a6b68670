import test from 'ava'
import { chooseForCall, EndpointBoard } from '@cyclamenthread/state'
import { endpointEntry } from '@cyclamenthread/state/testing'
import type { Vantage } from '@cyclamenthread/state'

const VANTAGE: Vantage = {
  failureDomain: 'leith-walk',
  region: 'lothian',
  regions: { 'leith-walk': 'lothian', grassmarket: 'lothian', castlegate: 'grampian' }
}

const DEMAND = { service: 'desk', excluded: new Set<string>(), usualMs: 40 }

function deskBoard (): EndpointBoard {
  const board = new EndpointBoard()
  board.update([
    endpointEntry('near', { service: 'desk' }),
    endpointEntry('far', { service: 'desk', failureDomain: 'castlegate' })
  ])
  return board
}

test('steady bookings: the nearest endpoint is taken', (t) => {
  t.is(chooseForCall(deskBoard(), DEMAND, VANTAGE, 0)?.entry.id, 'near')
})

test('one desk turned slow: bookings go to the far one, which answers sooner', (t) => {
  const board = deskBoard()
  board.seePace('near', 160, 0)
  t.is(chooseForCall(board, DEMAND, VANTAGE, 10)?.entry.id, 'far')
})

test('a burst of bookings: a full endpoint is passed over', (t) => {
  const board = deskBoard()
  for (let call = 0; call < 8; call += 1) board.begin('near')
  t.is(chooseForCall(board, DEMAND, VANTAGE, 0)?.entry.id, 'far')
})

test('an endpoint that a call was sent to is not chosen for it again', (t) => {
  t.is(chooseForCall(deskBoard(), { ...DEMAND, excluded: new Set(['near', 'far']) }, VANTAGE, 0), undefined)
})
