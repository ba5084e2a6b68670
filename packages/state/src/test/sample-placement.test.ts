import test from 'ava'
import { EndpointBoard, placeSample, startOrder } from '@cyclamenthread/state'
import { endpointEntry, rolloutOrder } from '@cyclamenthread/state/testing'
import type { SampleDemand, Vantage } from '@cyclamenthread/state'

const VANTAGE: Vantage = { failureDomain: 'leith-walk', region: 'lothian', regions: { 'leith-walk': 'lothian', castlegate: 'grampian' } }
const DEMAND: SampleDemand = { service: 'models', model: 'critic', minVersion: 3, warm: new Set() }
const PACE_MS = 40

test('a step with stragglers: the longest expected samples start first', (t) => {
  const order = rolloutOrder(2, 2)
  const samples = order.samples.map((sample) => sample.id === 'g1.1' ? { ...sample, expectedTokens: 90 } : sample)
  t.is(startOrder({ ...order, samples }, samples)[0]?.id, 'g1.1')
  // The rest of the group with the straggler goes before groups that are short anyway.
  t.is(startOrder({ ...order, samples }, samples)[1]?.id, 'g1.0')
})

test('weights that are too old for the step get none of its samples', (t) => {
  const board = new EndpointBoard()
  board.update([endpointEntry('old', { versions: { critic: 2 } })])
  t.is(placeSample(board, DEMAND, VANTAGE, PACE_MS, 0), undefined)
  board.seeVersion('old', 'critic', 3)
  t.is(placeSample(board, DEMAND, VANTAGE, PACE_MS, 0)?.entry.id, 'old')
})

test('a change of weights: the endpoint is left alone for that model only, and not for long', (t) => {
  const board = new EndpointBoard()
  board.update([endpointEntry('a', { versions: { critic: 3, palette: 3 } })])
  board.refuseModel('a', 'critic', 0)
  t.is(placeSample(board, DEMAND, VANTAGE, PACE_MS, 1), undefined)
  t.is(placeSample(board, { ...DEMAND, model: 'palette' }, VANTAGE, PACE_MS, 1)?.entry.id, 'a')
  t.is(placeSample(board, DEMAND, VANTAGE, PACE_MS, 1_000)?.entry.id, 'a')
})

test('a wave of samples: no endpoint gets more than its slots', (t) => {
  const board = new EndpointBoard()
  board.update([endpointEntry('a'), endpointEntry('b')])
  const placed: string[] = []
  for (let record = placeSample(board, DEMAND, VANTAGE, PACE_MS, 0); record !== undefined; record = placeSample(board, DEMAND, VANTAGE, PACE_MS, 0)) {
    placed.push(record.entry.id)
    board.begin(record.entry.id)
  }
  t.is(placed.length, 8)
  t.is(placed.filter((id) => id === 'a').length, 4)
})

test('an endpoint that turned slow gets samples only when the others are full', (t) => {
  const board = new EndpointBoard()
  board.update([endpointEntry('slow'), endpointEntry('fast', { failureDomain: 'castlegate' })])
  board.seePace('slow', PACE_MS * 3, 0)
  for (let sample = 0; sample < 4; sample += 1) {
    t.is(placeSample(board, DEMAND, VANTAGE, PACE_MS, 0)?.entry.id, 'fast')
    board.begin('fast')
  }
  t.is(placeSample(board, DEMAND, VANTAGE, PACE_MS, 0)?.entry.id, 'slow')
})
