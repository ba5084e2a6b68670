import test from 'ava'
import { chooseEndpointForCall, chooseSuspendedEndpoint, EndpointTable, WorkEnd } from '@cyclamenthread/state'
import { endpointEntry } from '@cyclamenthread/state/testing'
import type { NetworkLocation } from '@cyclamenthread/state'

const LOCATION: NetworkLocation = {
  failureDomain: 'leith-walk',
  region: 'lothian',
  regions: { 'leith-walk': 'lothian', grassmarket: 'lothian', castlegate: 'grampian' }
}

const DEMAND = { service: 'desk', excluded: new Set<string>(), typicalMs: 40, reservedSlots: 0 }

function deskEndpoints (): EndpointTable {
  const table = new EndpointTable()
  table.update([
    endpointEntry('near', { service: 'desk' }),
    endpointEntry('far', { service: 'desk', failureDomain: 'castlegate' })
  ])
  return table
}

test('the nearest endpoint is chosen under constant load', (t) => {
  t.is(chooseEndpointForCall(deskEndpoints(), DEMAND, LOCATION, 0)?.entry.id, 'near')
})

test('a remote endpoint is chosen if the local one is slow', (t) => {
  const table = deskEndpoints()
  table.recordPace('near', 160, 0)
  t.is(chooseEndpointForCall(table, DEMAND, LOCATION, 10)?.entry.id, 'far')
})

test('a full endpoint is skipped during a burst', (t) => {
  const table = deskEndpoints()
  for (let call = 0; call < 8; call += 1) table.startWork('near')
  t.is(chooseEndpointForCall(table, DEMAND, LOCATION, 0)?.entry.id, 'far')
})

test('an endpoint to which a call was already sent is not chosen again', (t) => {
  t.is(chooseEndpointForCall(deskEndpoints(), { ...DEMAND, excluded: new Set(['near', 'far']) }, LOCATION, 0), undefined)
})

test('a call that leaves slots free does not go to an endpoint that is nearly full, and to none if all are', (t) => {
  const table = deskEndpoints()
  const demand = { ...DEMAND, reservedSlots: 2 }
  const slots = table.find('near')?.entry.slots ?? 0
  for (let call = 0; call < slots - 2; call += 1) table.startWork('near')
  t.is(chooseEndpointForCall(table, demand, LOCATION, 0)?.entry.id, 'far')
  for (let call = 0; call < slots - 2; call += 1) table.startWork('far')
  t.is(chooseEndpointForCall(table, demand, LOCATION, 0), undefined)
  t.is(chooseEndpointForCall(table, DEMAND, LOCATION, 0)?.entry.id, 'near')
})

// Guards against calls that are refused although some endpoint could serve them (SHORT).
test('an endpoint that is suspended after broken connections gets one call at a time, the one with the fewest failures first', (t) => {
  const table = deskEndpoints()
  t.is(chooseSuspendedEndpoint(table, DEMAND, 0), undefined)
  const breakConnection = (id: string): void => {
    table.startWork(id)
    table.finishWork(id, table.find(id)?.entry.bornAt ?? 0, WorkEnd.Broken, 0)
  }
  for (const id of ['near', 'near', 'far']) breakConnection(id)
  t.is(chooseEndpointForCall(table, DEMAND, LOCATION, 1), undefined)
  t.is(chooseSuspendedEndpoint(table, DEMAND, 1)?.entry.id, 'far')
  table.startWork('far')
  t.is(chooseSuspendedEndpoint(table, DEMAND, 1)?.entry.id, 'near')
  table.startWork('near')
  t.is(chooseSuspendedEndpoint(table, DEMAND, 1), undefined)
  table.finishWork('near', table.find('near')?.entry.bornAt ?? 0, WorkEnd.Finished, 1)
  t.is(chooseSuspendedEndpoint(table, DEMAND, 2)?.entry.id, 'near')
})
