import test from 'ava'
import { EndpointPace, isMoveWorthwhile, PaceBoard } from '@cyclamenthread/state'
import { endpointEntry } from '@cyclamenthread/state/testing'

/** Usual time of an event, in milliseconds. */
const USUAL_MS = 48

test('a slowdown that was just noticed is expected to end soon, one that has lasted for seconds is not', (t) => {
  const shared = new EndpointPace()
  shared.observe(1, 5_000, 0)
  shared.observe(2.5, 120, 120)
  const degraded = new EndpointPace()
  degraded.observe(1, 5_000, 0)
  for (let at = 120; at <= 2_400; at += 120) degraded.observe(2.5, 120, at)
  const soon = shared.expectedMs(4_000, 120, 1.2)
  const long = degraded.expectedMs(4_000, 2_400, 1.2)
  t.true(soon < 4_000 * 1.2 + 300)
  t.true(long > soon + 1_000)
})

test('an old observation decides nothing, and an endpoint that was hardly observed has the mean of its service', (t) => {
  const pace = new EndpointPace()
  pace.observe(2.5, 0, 0)
  t.true(pace.expectedMs(1_000, 10, 1.2) > 1_250)
  t.is(Math.round(pace.expectedMs(1_000, 10_000, 1.2)), 1_200)
  t.is(new EndpointPace().expectedMs(1_000, 0, 1.2), 1_200)
})

// Guards against a text that waits at a machine which is slow now, because only a unit that has ended shows it.
test('a unit that is overdue shows that the machine is slow', (t) => {
  const pace = new EndpointPace()
  pace.observe(1, 5_000, 0)
  const before = pace.expectedMs(2_000, 150, 1.2, { usualMs: USUAL_MS, slowFactor: 2.5, elapsedMs: USUAL_MS })
  t.true(pace.expectedMs(2_000, 150, 1.2, { usualMs: USUAL_MS, slowFactor: 2.5, elapsedMs: 75 }) > before + 100)
})

test('what isn\'t a pace is ignored', (t) => {
  const pace = new EndpointPace()
  for (const factor of [0, -1, Number.NaN, Infinity]) pace.observe(factor, 10, 10)
  t.is(pace.observedAt, -Infinity)
})

// Guards against long texts that follow chance: within some seconds, the means of endpoints whose pace changes each 600 ms differ by a fifth.
test('a difference between two endpoints counts the more, the longer it has been there', (t) => {
  const brief = new EndpointPace()
  for (let at = 50; at <= 1_500; at += 50) brief.observe(at <= 300 ? 2.5 : 1, 50, at)
  const lasting = new EndpointPace()
  for (let at = 65; at <= 260_000; at += 65) lasting.observe(1.3, 65, at)
  t.true(brief.expectedMs(5_000, 1_500, 1.2) < 5_000 * 1.25)
  t.true(lasting.expectedMs(5_000, 260_000, 1.1) > 5_000 * 1.24)
})

// Guards against work that follows each change of a pace which changes within 600 ms and is known late: a move has to save more than it costs.
test('a move is worth while only if it saves clearly more than it costs', (t) => {
  t.true(isMoveWorthwhile({ stayMs: 2_900, elsewhereMs: 2_200, costMs: 90 }))
  t.false(isMoveWorthwhile({ stayMs: 2_600, elsewhereMs: 2_200, costMs: 90 }))
  t.false(isMoveWorthwhile({ stayMs: 3_200, elsewhereMs: 2_200, costMs: 550 }))
})

/** A board on which two endpoints have yielded events at the usual pace for some seconds. */
function usualBoard (until: number): { readonly board: PaceBoard, readonly entries: ReadonlyArray<ReturnType<typeof endpointEntry>> } {
  const board = new PaceBoard()
  const entries = ['a', 'bb'].map((id) => endpointEntry(id))
  for (const entry of entries) {
    board.recordStatement(entry, 100, 0)
    board.openUnit(entry, `at-${entry.id}`, 0)
    for (let at = USUAL_MS; at <= until; at += USUAL_MS) board.recordUnit(entry, `at-${entry.id}`, at)
  }
  return { board, entries }
}

test('only services whose endpoints state their pace are estimated, and a new incarnation starts anew', (t) => {
  const { board, entries: [first] } = usualBoard(4_800)
  t.true(board.isStated('models'))
  t.false(board.isStated('desk'))
  t.is(Math.round(board.usualMs('models', 10, 4_800)), USUAL_MS)
  t.is(board.ageMs({ ...first ?? endpointEntry('a'), bornAt: 2 }, 4_800), Infinity)
  board.retain(new Set(['bb']))
  t.is(board.ageMs(first ?? endpointEntry('a'), 4_800), Infinity)
})

// Guards against a long text that stays at a degraded machine although another one has room, and against texts that follow a pace which changes within 600 ms.
test('a long text is moved off a machine that is slow for seconds, not for 600 ms', (t) => {
  const { board, entries } = usualBoard(4_800)
  const [slow, quick] = entries
  if (slow === undefined || quick === undefined) return t.fail()
  const movesAfter = (slowMs: number, units: number): boolean => {
    const now = 4_800 + slowMs
    return isMoveWorthwhile({ stayMs: board.expectedMs(slow, units, USUAL_MS, now), elsewhereMs: board.expectedMs(quick, units, USUAL_MS, now), costMs: 60 })
  }
  for (let at = 4_848; at <= 6_000; at += USUAL_MS) board.recordUnit(quick, 'at-bb', at)
  t.false(movesAfter(100, 100))
  for (let at = 4_920; at <= 5_400; at += 120) board.recordUnit(slow, 'at-a', at)
  t.false(movesAfter(600, 100))
  for (let at = 5_520; at <= 6_000; at += 120) board.recordUnit(slow, 'at-a', at)
  t.false(movesAfter(1_200, 2))
  t.true(movesAfter(1_200, 100))
})
