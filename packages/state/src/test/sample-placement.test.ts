import test from 'ava'
import { EndpointTable, placeSample, sortForStart } from '@cyclamenthread/state'
import { endpointEntry, rolloutOrder } from '@cyclamenthread/state/testing'
import type { SampleDemand, NetworkLocation } from '@cyclamenthread/state'

const LOCATION: NetworkLocation = { failureDomain: 'leith-walk', region: 'lothian', regions: { 'leith-walk': 'lothian', castlegate: 'grampian' } }
const DEMAND: SampleDemand = { service: 'models', model: 'critic', minVersion: 3, softwareVersion: undefined, warm: new Set() }
const PACE_MS = 40

test('the samples with the longest expected duration start first', (t) => {
  const order = rolloutOrder(2, 2)
  const samples = order.samples.map((sample) => sample.id === 'g1.1' ? { ...sample, expectedTokens: 90 } : sample)
  t.is(sortForStart({ ...order, samples }, samples)[0]?.id, 'g1.1')
  // The other samples of the straggler's group start before those of groups with short samples only.
  t.is(sortForStart({ ...order, samples }, samples)[1]?.id, 'g1.0')
})

test('an endpoint whose weights are too old for the step gets none of its samples', (t) => {
  const table = new EndpointTable()
  table.update([endpointEntry('old', { versions: { critic: 2 } })])
  t.is(placeSample(table, DEMAND, LOCATION, PACE_MS, 0), undefined)
  table.recordVersion('old', 'critic', 3)
  t.is(placeSample(table, DEMAND, LOCATION, PACE_MS, 0)?.entry.id, 'old')
})

test('an endpoint that refused during a weight update gets no samples of that model for a short time', (t) => {
  const table = new EndpointTable()
  table.update([endpointEntry('a', { versions: { critic: 3, palette: 3 } })])
  table.recordModelRefusal('a', 'critic', 0)
  t.is(placeSample(table, DEMAND, LOCATION, PACE_MS, 1), undefined)
  t.is(placeSample(table, { ...DEMAND, model: 'palette' }, LOCATION, PACE_MS, 1)?.entry.id, 'a')
  t.is(placeSample(table, DEMAND, LOCATION, PACE_MS, 1_000)?.entry.id, 'a')
})

test('a sample whose text was begun goes to an endpoint of its software version, even a slow one', (t) => {
  const table = new EndpointTable()
  table.update([endpointEntry('slow', { softwareVersion: 's1', slots: 1 }), endpointEntry('fast', { softwareVersion: 's2' })])
  table.recordPace('slow', PACE_MS * 3, 0)
  t.is(placeSample(table, { ...DEMAND, softwareVersion: 's1' }, LOCATION, PACE_MS, 0)?.entry.id, 'slow')
  table.startWork('slow')
  t.is(placeSample(table, { ...DEMAND, softwareVersion: 's1' }, LOCATION, PACE_MS, 0), undefined)
  t.is(placeSample(table, DEMAND, LOCATION, PACE_MS, 0)?.entry.id, 'fast')
})

test('no endpoint gets more samples than it has slots', (t) => {
  const table = new EndpointTable()
  table.update([endpointEntry('a'), endpointEntry('b')])
  const placed: string[] = []
  for (let record = placeSample(table, DEMAND, LOCATION, PACE_MS, 0); record !== undefined; record = placeSample(table, DEMAND, LOCATION, PACE_MS, 0)) {
    placed.push(record.entry.id)
    table.startWork(record.entry.id)
  }
  t.is(placed.length, 8)
  t.is(placed.filter((id) => id === 'a').length, 4)
})

test('a slow endpoint gets samples only when the others are full', (t) => {
  const table = new EndpointTable()
  table.update([endpointEntry('slow'), endpointEntry('fast', { failureDomain: 'castlegate' })])
  table.recordPace('slow', PACE_MS * 3, 0)
  for (let sample = 0; sample < 4; sample += 1) {
    t.is(placeSample(table, DEMAND, LOCATION, PACE_MS, 0)?.entry.id, 'fast')
    table.startWork('fast')
  }
  t.is(placeSample(table, DEMAND, LOCATION, PACE_MS, 0)?.entry.id, 'slow')
})
