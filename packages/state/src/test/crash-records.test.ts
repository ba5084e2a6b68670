import test from 'ava'
import { CrashRecords, crashSources, MAX_CRASHES } from '@cyclamenthread/state'
import type { CrashSighting } from '@cyclamenthread/state'

const HARMFUL = { target: 't', digest: 'd' }

function crash (number: number, lostAt: number, isConfirmed = true): CrashSighting {
  return { endpointId: `i-${number}`, bornAt: 1, lostAt, isConfirmed }
}

// Guards against a request that crashes one endpoint after the other (BUDGET).
test('a request is held back from its third crash on, for longer after each further one, and its record is kept meanwhile', (t) => {
  const records = new CrashRecords()
  for (let number = 0; number < MAX_CRASHES; number += 1) {
    t.is(records.heldUntil('d', number * 1_000), undefined)
    t.true(records.record(HARMFUL, crash(number, number * 1_000)))
  }
  const first = records.heldUntil('d', 3_000) ?? 0
  t.true(first > 20_000)
  t.is(records.heldUntil('d', first), undefined)
  t.true(records.record(HARMFUL, crash(9, first)))
  t.true((records.heldUntil('d', first) ?? 0) - first > first)
})

// Guards against one attempt that crashes several endpoints within milliseconds and counts once (BUDGET).
test('crashes at the same moment count one by one, and each incarnation once', (t) => {
  const records = new CrashRecords()
  for (let number = 0; number < MAX_CRASHES; number += 1) t.true(records.record(HARMFUL, crash(number, 5)))
  t.false(records.record(HARMFUL, crash(0, 900)))
  t.not(records.heldUntil('d', 10), undefined)
})

// Guards against sound requests that are held back because connections broke.
test('an endpoint that may still run does not count, nor one that has given a sign since', (t) => {
  const records = new CrashRecords()
  for (let number = 0; number < 9; number += 1) t.true(records.record(HARMFUL, crash(number, number, false)))
  t.is(records.heldUntil('d', 10), undefined)
  for (const number of [0, 1]) t.true(records.record(HARMFUL, crash(number, number)))
  records.withdraw('d', 'i-2', 1)
  t.is(records.heldUntil('d', 10), undefined)
  t.is(records.find('d')?.sightings.length, 8)
})

// Guards against hosts that each know another half of the crashes (BUDGET).
test('the records of two hosts are joined', (t) => {
  const [one, other] = [new CrashRecords(), new CrashRecords()]
  for (const number of [1, 2]) one.record(HARMFUL, crash(number, number))
  for (const number of [2, 3]) other.record(HARMFUL, crash(number, number))
  const shared = other.find('d')
  t.true(shared !== undefined && one.merge(shared, 4))
  t.not(one.heldUntil('d', 4), undefined)
  t.false(shared === undefined || one.merge(shared, 5))
})

// Guards against sound requests that are held back for crashes before a completion.
test('a completion clears what was sighted before it was sent, and old sightings are forgotten', (t) => {
  const records = new CrashRecords()
  records.record(HARMFUL, crash(1, 100))
  t.false(records.recordCompletion('d', 90))
  records.record(HARMFUL, crash(2, 200))
  t.true(records.recordCompletion('d', 150))
  t.deepEqual(records.find('d')?.sightings.map(({ endpointId }) => endpointId), ['i-2'])
  t.false(records.record(HARMFUL, crash(3, 140)))
  for (let number = 4; number < 14; number += 1) records.record(HARMFUL, crash(number, number * 150_000))
  t.is(records.heldUntil('d', 1_950_000), undefined)
})

// Guards against hosts that are asked by the whole fleet each second.
test('in a large fleet no host is the source of many others, and none asks itself', (t) => {
  const ids = Array.from({ length: 165 }, (_, index) => `h${index}`)
  const askedBy = new Map<string, number>()
  for (const id of ids) {
    const sources = crashSources(id, ids)
    t.false(sources.includes(id))
    for (const source of sources) askedBy.set(source, (askedBy.get(source) ?? 0) + 1)
  }
  t.true(Math.max(...askedBy.values()) <= 12)
})
