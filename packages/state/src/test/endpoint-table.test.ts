import test from 'ava'
import { EndpointTable, EndpointPhase, WorkEnd } from '@cyclamenthread/state'
import { endpointEntry } from '@cyclamenthread/state/testing'

test('an endpoint that drains or has left the registry gets no work', (t) => {
  const board = new EndpointTable()
  board.update([endpointEntry('a'), endpointEntry('b', { phase: EndpointPhase.Draining })])
  t.deepEqual(board.usableEndpoints('models', 0).map((record) => record.entry.id), ['a'])
  board.update([endpointEntry('b', { phase: EndpointPhase.Draining })])
  t.deepEqual(board.usableEndpoints('models', 0), [])
})

test('a new life under a known id starts with an empty record', (t) => {
  const board = new EndpointTable()
  board.update([endpointEntry('a')])
  board.startWork('a')
  board.recordPace('a', 500, 0)
  board.recordVersion('a', 'critic', 9)
  board.update([endpointEntry('a', { bornAt: 2 })])
  const record = board.find('a')
  t.is(record?.activeWork, 0)
  t.is(record?.paceMs, undefined)
  t.is(record && board.newestVersion(record, 'critic'), 3)
})

test('the end of work of an earlier life is not counted for the new one', (t) => {
  const board = new EndpointTable()
  board.update([endpointEntry('a')])
  board.startWork('a')
  board.update([endpointEntry('a', { bornAt: 2 })])
  board.startWork('a')
  board.finishWork('a', 1, WorkEnd.Broken, 0)
  t.is(board.find('a')?.activeWork, 1)
  t.is(board.usableEndpoints('models', 0).length, 1)
})

test('broken work suspends an endpoint, each time for longer, until work succeeds', (t) => {
  const board = new EndpointTable()
  board.update([endpointEntry('a')])
  board.startWork('a')
  board.finishWork('a', 1, WorkEnd.Broken, 0)
  const first = board.find('a')?.suspendedUntil ?? 0
  t.true(first > 0)
  t.deepEqual(board.usableEndpoints('models', first - 1), [])
  board.startWork('a')
  board.finishWork('a', 1, WorkEnd.Broken, first)
  t.true((board.find('a')?.suspendedUntil ?? 0) - first > first)
  board.startWork('a')
  board.finishWork('a', 1, WorkEnd.Finished, 10_000)
  t.is(board.find('a')?.consecutiveFailures, 0)
})

test('what is known of a pace is forgotten in time, so that a slow endpoint is tried again', (t) => {
  const board = new EndpointTable()
  board.update([endpointEntry('a')])
  board.recordPace('a', 400, 0)
  const record = board.find('a')
  t.truthy(record)
  if (record === undefined) return
  t.is(board.estimatedPace(record, 40, 0), 400)
  // An endpoint that is slower for good is still known between two steps of a trainer.
  t.true(board.estimatedPace(record, 40, 4_000) > 300)
  t.true(board.estimatedPace(record, 40, 120_000) < 45)
})

test('a busy host sees every endpoint slow: one that it has not seen yet is not taken for a faster one', (t) => {
  const board = new EndpointTable()
  board.update(['a', 'b', 'c', 'd'].map((id) => endpointEntry(id)))
  for (const [index, id] of ['a', 'b', 'c'].entries()) board.recordPace(id, 190 + index * 10, 0)
  const typical = board.typicalPace('models', 38, 100)
  t.is(typical, 200)
  const [seen, unseen] = ['c', 'd'].map((id) => board.find(id))
  t.true(seen !== undefined && unseen !== undefined && board.estimatedPace(seen, typical, 100) < board.estimatedPace(unseen, typical, 100) * 1.25)
  t.is(board.typicalPace('models', 38, 60_000), 38)
  t.is(board.typicalPace('others', 38, 0), 38)
})

test('an endpoint that refused a model gets one sample at a time until it takes one', (t) => {
  const board = new EndpointTable()
  board.update([endpointEntry('a', { slots: 8 })])
  const startsSample = (now: number): boolean => {
    const record = board.find('a')
    const free = record !== undefined && board.acceptsModel(record, 'critic', 3, now)
    if (free) board.startModelTrial('a', 'critic', now)
    return free
  }
  t.true(startsSample(0) && startsSample(0) && startsSample(0))
  board.recordModelRefusal('a', 'critic', 10)
  t.false(startsSample(500))
  t.true(startsSample(1_000))
  t.false(startsSample(1_001), 'the first sample after a refusal is out')
  t.false(startsSample(1_050))
  t.true(startsSample(1_200), 'its answer may be lost')
  board.recordModelAcceptance('a', 'critic')
  t.true(startsSample(1_201) && startsSample(1_201) && startsSample(1_201))
})
