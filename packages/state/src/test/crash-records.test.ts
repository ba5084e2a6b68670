import test from 'ava'
import { CrashCount, CrashRecords, crashSources, MAX_CRASHES } from '@cyclamenthread/state'

const POISON = { target: 't', digest: 'd' }

function crash (number: number, sentAt: number, lostAt = sentAt): { readonly incarnation: string, readonly sentAt: number, readonly lostAt: number } {
  return { incarnation: `i-${number}@1`, sentAt, lostAt }
}

// Guards against a request that crashes one endpoint after the other (BUDGET).
test('a request is held back from its third crash on, for longer after each further one, and its record is kept meanwhile', (t) => {
  const records = new CrashRecords()
  for (let number = 0; number < MAX_CRASHES; number += 1) {
    t.is(records.heldUntil('d', number * 1_000), undefined)
    t.is(records.record(POISON, crash(number, number * 1_000)), CrashCount.Counted)
  }
  const first = records.heldUntil('d', 3_000) ?? 0
  t.true(first > 20_000)
  t.is(records.heldUntil('d', first), undefined)
  t.is(records.record(POISON, crash(9, first)), CrashCount.Counted)
  t.true((records.heldUntil('d', first) ?? 0) - first > first)
})

// Guards against sound requests that are held back because endpoints crash together.
test('losses at the same time or of the same incarnation count once, old ones are forgotten, and a later completion clears them', (t) => {
  const records = new CrashRecords()
  t.is(records.record(POISON, crash(1, 0, 100)), CrashCount.Counted)
  t.is(records.record(POISON, crash(2, 50, 110)), CrashCount.SameIncident)
  t.is(records.record(POISON, crash(3, 900)), CrashCount.SameIncident)
  t.is(records.record(POISON, crash(1, 5_000)), CrashCount.Known)
  t.false(records.recordCompletion('d', 90))
  t.true(records.recordCompletion('d', 150))
  t.false(records.hasTarget('t'))
  for (let number = 0; number < 10; number += 1) records.record(POISON, crash(number, number * 150_000))
  t.is(records.heldUntil('d', 1_350_000), undefined)
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
