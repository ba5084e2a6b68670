import test from 'ava'
import { EndpointTable, EndpointPhase, limitInForce, WorkEnd } from '@cyclamenthread/state'
import { endpointEntry } from '@cyclamenthread/state/testing'

test('an endpoint that is draining or no longer registered gets no work', (t) => {
  const table = new EndpointTable()
  table.update([endpointEntry('a'), endpointEntry('b', { phase: EndpointPhase.Draining })])
  t.deepEqual(table.usableEndpoints('models', 0).map((record) => record.entry.id), ['a'])
  table.update([endpointEntry('b', { phase: EndpointPhase.Draining })])
  t.deepEqual(table.usableEndpoints('models', 0), [])
})

test('a new incarnation under a known id starts with an empty record', (t) => {
  const table = new EndpointTable()
  table.update([endpointEntry('a')])
  table.startWork('a')
  table.recordPace('a', 500, 0)
  table.recordVersion('a', 'critic', 9)
  table.update([endpointEntry('a', { bornAt: 2 })])
  const record = table.find('a')
  t.is(record?.activeWork, 0)
  t.is(record?.paceMs, undefined)
  t.is(record && table.newestVersion(record, 'critic'), 3)
})

test('an endpoint that comes back with another software version starts with an empty record', (t) => {
  const table = new EndpointTable()
  table.update([endpointEntry('a', { softwareVersion: 's1' })])
  table.recordPace('a', 500, 0)
  table.update([endpointEntry('a', { softwareVersion: 's2' })])
  t.is(table.find('a')?.paceMs, undefined)
})

test('a software version is served while a ready endpoint of its service has it, even one that is suspended', (t) => {
  const table = new EndpointTable()
  table.update([endpointEntry('a', { softwareVersion: 's1' }), endpointEntry('b', { softwareVersion: 's2', service: 'others' }), endpointEntry('c', { softwareVersion: 's3', phase: EndpointPhase.Draining })])
  table.startWork('a')
  table.finishWork('a', 1, WorkEnd.Broken, 0)
  t.deepEqual(['s1', 's2', 's3'].map((version) => table.isVersionServed('models', version)), [true, false, false])
  table.update([endpointEntry('a', { softwareVersion: 's1', phase: EndpointPhase.Draining })])
  t.false(table.isVersionServed('models', 's1'))
})

test('the end of work of a previous incarnation is not counted for the new one', (t) => {
  const table = new EndpointTable()
  table.update([endpointEntry('a')])
  table.startWork('a')
  table.update([endpointEntry('a', { bornAt: 2 })])
  table.startWork('a')
  table.finishWork('a', 1, WorkEnd.Broken, 0)
  t.is(table.find('a')?.activeWork, 1)
  t.is(table.usableEndpoints('models', 0).length, 1)
})

test('consecutive connection failures suspend an endpoint for increasing times until work succeeds', (t) => {
  const table = new EndpointTable()
  table.update([endpointEntry('a')])
  table.startWork('a')
  table.finishWork('a', 1, WorkEnd.Broken, 0)
  const first = table.find('a')?.suspendedUntil ?? 0
  t.true(first > 0)
  t.deepEqual(table.usableEndpoints('models', first - 1), [])
  table.startWork('a')
  table.finishWork('a', 1, WorkEnd.Broken, first)
  t.true((table.find('a')?.suspendedUntil ?? 0) - first > first)
  table.startWork('a')
  table.finishWork('a', 1, WorkEnd.Finished, 10_000)
  t.is(table.find('a')?.consecutiveFailures, 0)
})

// Guards against an endpoint that sends answers without end and gets new work at once (LOST).
test('overruns suspend an endpoint for increasing times until work succeeds; those of work beside it count once', (t) => {
  const table = new EndpointTable()
  table.update([endpointEntry('a')])
  const overrun = (now: number): number => {
    table.startWork('a')
    table.finishWork('a', 1, WorkEnd.Overrun, now)
    return table.find('a')?.suspendedUntil ?? 0
  }
  const first = overrun(0)
  t.true(first >= 1_000)
  t.is(overrun(10), first)
  const second = overrun(first)
  t.true(second - first >= 2 * first)
  table.startWork('a')
  table.finishWork('a', 1, WorkEnd.Finished, second)
  t.is(overrun(100_000) - 100_000, first)
})

test('a measured pace decays over time, so that a slow endpoint is tried again', (t) => {
  const table = new EndpointTable()
  table.update([endpointEntry('a')])
  table.recordPace('a', 400, 0)
  const record = table.find('a')
  t.truthy(record)
  if (record === undefined) return
  t.is(table.estimatedPace(record, 40, 0), 400)
  // Between two steps of a trainer a permanently slow endpoint is still recognised.
  t.true(table.estimatedPace(record, 40, 4_000) > 300)
  t.true(table.estimatedPace(record, 40, 120_000) < 45)
})

test('if a busy local host makes all endpoints appear slow, one without a measurement is not preferred', (t) => {
  const table = new EndpointTable()
  table.update(['a', 'b', 'c', 'd'].map((id) => endpointEntry(id)))
  for (const [index, id] of ['a', 'b', 'c'].entries()) table.recordPace(id, 190 + index * 10, 0)
  const typical = table.typicalPace('models', 38, 100)
  t.is(typical, 200)
  const [seen, unseen] = ['c', 'd'].map((id) => table.find(id))
  t.true(seen !== undefined && unseen !== undefined && table.estimatedPace(seen, typical, 100) < table.estimatedPace(unseen, typical, 100) * 1.25)
  t.is(table.typicalPace('models', 38, 60_000), 38)
  t.is(table.typicalPace('others', 38, 0), 38)
})

test('an endpoint that refused a model gets one sample at a time until it takes one', (t) => {
  const table = new EndpointTable()
  table.update([endpointEntry('a', { slots: 8 })])
  const startsSample = (now: number): boolean => {
    const record = table.find('a')
    const free = record !== undefined && table.acceptsModel(record, 'critic', 3, now)
    if (free) table.startModelTrial('a', 'critic', now)
    return free
  }
  t.true(startsSample(0) && startsSample(0) && startsSample(0))
  table.recordModelRefusal('a', 'critic', 10)
  t.false(startsSample(500))
  t.true(startsSample(1_000))
  t.false(startsSample(1_001), 'the trial sample after a refusal has no result yet')
  t.false(startsSample(1_050))
  t.true(startsSample(1_200), 'the answer to the trial sample may be lost')
  table.recordModelAcceptance('a', 'critic')
  t.true(startsSample(1_201) && startsSample(1_201) && startsSample(1_201))
})

test('tail of a long step: the typical pace is computed a few times a second, however many samples ask for it', (t) => {
  const table = new EndpointTable()
  table.update([endpointEntry('a'), endpointEntry('bb'), endpointEntry('ccc')])
  for (const id of ['a', 'bb', 'ccc']) table.recordPace(id, 40, 0)
  t.is(table.typicalPace('models', 38, 0), 40)
  for (const id of ['a', 'bb', 'ccc']) for (let event = 0; event < 40; event += 1) table.recordPace(id, 80, 10)
  t.is(table.typicalPace('models', 38, 100), 40)
  t.true(table.typicalPace('models', 38, 300) > 79)
})

// Guards against endpoints that register during an evacuation, or restart, and get work.
test('endpoints of an evacuated failure domain are out of service, also ones that are registered later, until it is lifted', (t) => {
  const table = new EndpointTable()
  table.update([endpointEntry('a'), endpointEntry('b', { failureDomain: 'grassmarket' })])
  table.setEvacuatedDomains(new Set(['leith-walk']))
  table.update([endpointEntry('a', { bornAt: 2 }), endpointEntry('b', { failureDomain: 'grassmarket' }), endpointEntry('c', { softwareVersion: 's2' })])
  t.deepEqual(table.usableEndpoints('models', 0).map((record) => record.entry.id), ['b'])
  t.deepEqual(table.endpointsInService().map((record) => record.entry.id), ['b'])
  t.false(table.isVersionServed('models', 's2'))
  table.setEvacuatedDomains(new Set())
  t.deepEqual(table.usableEndpoints('models', 0).map((record) => record.entry.id), ['a', 'b', 'c'])
})

const COLD_BOUNDS = new Map([['models', { durationMs: 10_000, requestsPerSecond: 8 }]])

// Guards against an evacuated failure domain whose endpoints all get a full load when the evacuation is lifted, or endpoints that get it after they broke.
test('endpoints are cold after their entry or an answer says so, after a connection broke, and after an evacuation was lifted', (t) => {
  const table = new EndpointTable()
  table.setColdBounds(COLD_BOUNDS)
  table.update([endpointEntry('a', { cold: { asOf: 0, until: 4_000 } }), endpointEntry('b'), endpointEntry('c'), endpointEntry('d', { failureDomain: 'grassmarket' }), endpointEntry('e')])
  table.finishWork('b', 1, WorkEnd.Broken, 100)
  table.finishWork('b', 2, WorkEnd.Broken, 9_000)
  table.recordNotice('c', 1, { requestsPerSecond: undefined, coldMs: 2_000, sentAt: 90, receivedAt: 100 })
  table.setEvacuatedDomains(new Set(['grassmarket']), 0)
  table.setEvacuatedDomains(new Set(), 100)
  const coldAt = (now: number): string => table.limitedEndpoints(now).map(([{ entry }]) => entry.id).join('')
  t.is(coldAt(200), 'abcd')
  t.is(coldAt(5_000), 'bd')
  table.recordNotice('b', 1, { requestsPerSecond: undefined, sentAt: 9_000, receivedAt: 9_100 })
  t.is(coldAt(11_000), 'b')
  t.is(coldAt(19_100), '')
})

// Guards against a smaller limit that the endpoint names and that is forgotten while it is cold, or the other way round.
test('of the limit that an endpoint names and that of a cold endpoint, the smaller one is in force', (t) => {
  const table = new EndpointTable()
  table.setColdBounds(COLD_BOUNDS)
  table.update([endpointEntry('a', { cold: { asOf: 0, until: 4_000 } })])
  const record = table.find('a')
  if (record === undefined) throw new Error('the table has no endpoint')
  const coldRate = limitInForce(record, 100)?.requestsPerSecond ?? 0
  t.true(coldRate > 0 && coldRate <= 8)
  table.recordNotice('a', 1, { requestsPerSecond: 2, sentAt: 100, receivedAt: 110 })
  t.like(limitInForce(record, 200), { requestsPerSecond: 2, namedAt: 110 })
  t.not(limitInForce(record, 200)?.cold, undefined)
  table.recordNotice('a', 1, { requestsPerSecond: 100, sentAt: 200, receivedAt: 210 })
  t.is(limitInForce(record, 300)?.requestsPerSecond, coldRate)
  table.recordNotice('a', 1, { requestsPerSecond: undefined, sentAt: 300, receivedAt: 310 })
  t.is(limitInForce(record, 400)?.requestsPerSecond, coldRate, 'an answer without a limit does not make it warm')
  t.is(limitInForce(record, 4_000), undefined)
  table.update([endpointEntry('a', { bornAt: 2, cold: { asOf: 5_000, until: 9_000 } })])
  const next = table.find('a')
  t.is(next && limitInForce(next, 5_000)?.cold?.until, 9_000)
})
