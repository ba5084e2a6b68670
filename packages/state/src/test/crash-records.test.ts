import test from 'ava'
import { AdmissionKind, CrashRecords, crashSources, MAX_CRASHES } from '@cyclamenthread/state'
import type { CrashSighting } from '@cyclamenthread/state'

const HARMFUL = { target: 't', digest: 'd' }

function crash (number: number, lostAt: number, isConfirmed = true): CrashSighting {
  return { endpointId: `i-${number}`, bornAt: 1, lostAt, isConfirmed }
}

/** Time after the third crash from which retries count, in milliseconds, and number of retries allowed then; limits set by the platform. */
const CONTACT_MS = 4_000
const MAX_LATE_RETRIES = 3

// Guards against a request that crashes one endpoint after the other (BUDGET).
for (const gapMs of [100, 800, 4_000, 20_000]) {
  test(`a request that comes again each ${gapMs} ms is held back from its third crash on, but for a few trials`, (t) => {
    const records = new CrashRecords()
    for (let number = 0; number < MAX_CRASHES; number += 1) {
      t.is(records.admit('d', number * 10).kind, AdmissionKind.Free)
      t.true(records.record(HARMFUL, crash(number, number * 10)))
    }
    const trials: number[] = []
    for (let now = gapMs; now < 3 * 3_600_000; now += gapMs) {
      t.not(records.admit('d', now).kind, AdmissionKind.Free)
      if (records.admit('d', now).kind !== AdmissionKind.TrialDue) continue
      trials.push(now)
      records.setTrials('d', records.trialsAfter('d', now))
      records.record(HARMFUL, crash(100 + trials.length, now))
    }
    t.true(trials.length > 0)
    t.true(trials.filter((at) => at > CONTACT_MS).length <= MAX_LATE_RETRIES)
    t.true(trials.length <= 5)
  })
}

// Guards against a sound request that is held back for long because endpoints crashed together while they ran it.
test('the first trials come soon after the third crash', (t) => {
  const records = new CrashRecords()
  for (let number = 0; number < MAX_CRASHES; number += 1) records.record(HARMFUL, crash(number, 0))
  t.is(records.admit('d', 600).kind, AdmissionKind.TrialDue)
  records.setTrials('d', records.trialsAfter('d', 600))
  t.is(records.admit('d', 601).kind, AdmissionKind.Held)
  t.is(records.admit('d', 1_400).kind, AdmissionKind.TrialDue)
})

// Guards against one attempt that crashes several endpoints within milliseconds and counts once (BUDGET).
test('crashes at the same moment count one by one, and each incarnation once', (t) => {
  const records = new CrashRecords()
  for (let number = 0; number < MAX_CRASHES; number += 1) t.true(records.record(HARMFUL, crash(number, 5)))
  t.false(records.record(HARMFUL, crash(0, 900)))
  t.true(records.isHeld('d'))
})

// Guards against sound requests that are held back because connections broke.
test('an endpoint that may still run does not count, nor one that has given a sign since', (t) => {
  const records = new CrashRecords()
  for (let number = 0; number < 9; number += 1) t.true(records.record(HARMFUL, crash(number, number, false)))
  t.false(records.isHeld('d'))
  for (const number of [0, 1]) t.true(records.record(HARMFUL, crash(number, number)))
  records.withdraw('d', 'i-2', 1)
  t.false(records.isHeld('d'))
  t.is(records.find('d')?.sightings.length, 8)
})

// Guards against hosts that each know another half of the crashes (BUDGET).
test('the records of two hosts are joined', (t) => {
  const [one, other] = [new CrashRecords(), new CrashRecords()]
  for (const number of [1, 2]) one.record(HARMFUL, crash(number, number))
  for (const number of [2, 3]) other.record(HARMFUL, crash(number, number))
  const shared = other.find('d')
  t.true(shared !== undefined && one.merge(shared, 4))
  t.true(one.isHeld('d'))
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
  for (let number = 4; number < 14; number += 1) {
    records.forgetOld(number * 150_000)
    records.record(HARMFUL, crash(number, number * 150_000))
  }
  t.false(records.isHeld('d'))
})

// Guards against a request that is forgotten while it is still being sent (BUDGET).
test('a request that is held back is remembered for as long as it comes again', (t) => {
  const records = new CrashRecords()
  for (let number = 0; number < MAX_CRASHES; number += 1) records.record(HARMFUL, crash(number, number))
  for (let minute = 1; minute < 300; minute += 10) {
    t.deepEqual(records.forgetOld(minute * 60_000), [])
    t.not(records.admit('d', minute * 60_000).kind, AdmissionKind.Free)
  }
  records.setStored('d')
  t.deepEqual(records.forgetOld(500 * 60_000).map(({ digest }) => digest), ['d'])
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
