import test from 'ava'
import { EndpointTable, placeSample, sortForStart } from '@cyclamenthread/state'
import { endpointEntry, rolloutOrder } from '@cyclamenthread/state/testing'
import type { SampleDemand, NetworkLocation } from '@cyclamenthread/state'

const LOCATION: NetworkLocation = { failureDomain: 'leith-walk', region: 'lothian', regions: { 'leith-walk': 'lothian', castlegate: 'grampian' } }
const DEMAND: SampleDemand = { service: 'models', model: 'critic', minVersion: 3, warm: new Set() }
const PACE_MS = 40

test('a step with stragglers: the longest expected samples start first', (t) => {
  const order = rolloutOrder(2, 2)
  const samples = order.samples.map((sample) => sample.id === 'g1.1' ? { ...sample, expectedTokens: 90 } : sample)
  t.is(sortForStart({ ...order, samples }, samples)[0]?.id, 'g1.1')
  // The rest of the group with the straggler goes before groups that are short anyway.
  t.is(sortForStart({ ...order, samples }, samples)[1]?.id, 'g1.0')
})

test('weights that are too old for the step get none of its samples', (t) => {
  const board = new EndpointTable()
  board.update([endpointEntry('old', { versions: { critic: 2 } })])
  t.is(placeSample(board, DEMAND, LOCATION, PACE_MS, 0), undefined)
  board.recordVersion('old', 'critic', 3)
  t.is(placeSample(board, DEMAND, LOCATION, PACE_MS, 0)?.entry.id, 'old')
})

test('a change of weights: the endpoint is left alone for that model only, and not for long', (t) => {
  const board = new EndpointTable()
  board.update([endpointEntry('a', { versions: { critic: 3, palette: 3 } })])
  board.recordModelRefusal('a', 'critic', 0)
  t.is(placeSample(board, DEMAND, LOCATION, PACE_MS, 1), undefined)
  t.is(placeSample(board, { ...DEMAND, model: 'palette' }, LOCATION, PACE_MS, 1)?.entry.id, 'a')
  t.is(placeSample(board, DEMAND, LOCATION, PACE_MS, 1_000)?.entry.id, 'a')
})

test('a wave of samples: no endpoint gets more than its slots', (t) => {
  const board = new EndpointTable()
  board.update([endpointEntry('a'), endpointEntry('b')])
  const placed: string[] = []
  for (let record = placeSample(board, DEMAND, LOCATION, PACE_MS, 0); record !== undefined; record = placeSample(board, DEMAND, LOCATION, PACE_MS, 0)) {
    placed.push(record.entry.id)
    board.startWork(record.entry.id)
  }
  t.is(placed.length, 8)
  t.is(placed.filter((id) => id === 'a').length, 4)
})

test('an endpoint that turned slow gets samples only when the others are full', (t) => {
  const board = new EndpointTable()
  board.update([endpointEntry('slow'), endpointEntry('fast', { failureDomain: 'castlegate' })])
  board.recordPace('slow', PACE_MS * 3, 0)
  for (let sample = 0; sample < 4; sample += 1) {
    t.is(placeSample(board, DEMAND, LOCATION, PACE_MS, 0)?.entry.id, 'fast')
    board.startWork('fast')
  }
  t.is(placeSample(board, DEMAND, LOCATION, PACE_MS, 0)?.entry.id, 'slow')
})
