import test from 'ava'
import { EndpointBoard, EndpointPhase, WorkEnd } from '@cyclamenthread/state'
import { endpointEntry } from '@cyclamenthread/state/testing'

test('an endpoint that drains or has left the registry gets no work', (t) => {
  const board = new EndpointBoard()
  board.update([endpointEntry('a'), endpointEntry('b', { phase: EndpointPhase.Draining })])
  t.deepEqual(board.usable('models', 0).map((record) => record.entry.id), ['a'])
  board.update([endpointEntry('b', { phase: EndpointPhase.Draining })])
  t.deepEqual(board.usable('models', 0), [])
})

test('a new life under a known id starts with an empty record', (t) => {
  const board = new EndpointBoard()
  board.update([endpointEntry('a')])
  board.begin('a')
  board.seePace('a', 500, 0)
  board.seeVersion('a', 'critic', 9)
  board.update([endpointEntry('a', { bornAt: 2 })])
  const record = board.find('a')
  t.is(record?.active, 0)
  t.is(record?.paceMs, undefined)
  t.is(record && board.version(record, 'critic'), 3)
})

test('the end of work of an earlier life is not counted for the new one', (t) => {
  const board = new EndpointBoard()
  board.update([endpointEntry('a')])
  board.begin('a')
  board.update([endpointEntry('a', { bornAt: 2 })])
  board.begin('a')
  board.end('a', 1, WorkEnd.Broken, 0)
  t.is(board.find('a')?.active, 1)
  t.is(board.usable('models', 0).length, 1)
})

test('broken work suspends an endpoint, each time for longer, until work succeeds', (t) => {
  const board = new EndpointBoard()
  board.update([endpointEntry('a')])
  board.begin('a')
  board.end('a', 1, WorkEnd.Broken, 0)
  const first = board.find('a')?.suspendedUntil ?? 0
  t.true(first > 0)
  t.deepEqual(board.usable('models', first - 1), [])
  board.begin('a')
  board.end('a', 1, WorkEnd.Broken, first)
  t.true((board.find('a')?.suspendedUntil ?? 0) - first > first)
  board.begin('a')
  board.end('a', 1, WorkEnd.Finished, 10_000)
  t.is(board.find('a')?.failuresInRow, 0)
})

test('what is known of a pace is forgotten in time, so that a slow endpoint is tried again', (t) => {
  const board = new EndpointBoard()
  board.update([endpointEntry('a')])
  board.seePace('a', 400, 0)
  const record = board.find('a')
  t.truthy(record)
  if (record === undefined) return
  t.is(board.pace(record, 40, 0), 400)
  // An endpoint that is slower for good is still known between two steps of a trainer.
  t.true(board.pace(record, 40, 4_000) > 300)
  t.true(board.pace(record, 40, 120_000) < 45)
})

test('a busy host sees every endpoint slow: one that it has not seen yet is not taken for a faster one', (t) => {
  const board = new EndpointBoard()
  board.update(['a', 'b', 'c', 'd'].map((id) => endpointEntry(id)))
  for (const [index, id] of ['a', 'b', 'c'].entries()) board.seePace(id, 190 + index * 10, 0)
  const typical = board.typicalPace('models', 38, 100)
  t.is(typical, 200)
  const [seen, unseen] = ['c', 'd'].map((id) => board.find(id))
  t.true(seen !== undefined && unseen !== undefined && board.pace(seen, typical, 100) < board.pace(unseen, typical, 100) * 1.25)
  t.is(board.typicalPace('models', 38, 60_000), 38)
  t.is(board.typicalPace('others', 38, 0), 38)
})

test('an endpoint that refused a model gets one sample at a time until it takes one', (t) => {
  const board = new EndpointBoard()
  board.update([endpointEntry('a', { slots: 8 })])
  const takes = (now: number): boolean => {
    const record = board.find('a')
    const free = record !== undefined && board.takesModel(record, 'critic', 3, now)
    if (free) board.tryModel('a', 'critic', now)
    return free
  }
  t.true(takes(0) && takes(0) && takes(0))
  board.refuseModel('a', 'critic', 10)
  t.false(takes(500))
  t.true(takes(1_000))
  t.false(takes(1_001), 'the first sample after a refusal is out')
  t.false(takes(1_050))
  t.true(takes(1_200), 'its answer may be lost')
  board.acceptModel('a', 'critic')
  t.true(takes(1_201) && takes(1_201) && takes(1_201))
})
