import test from 'ava'
import fc from 'fast-check'
import { SampleText, TextCheck } from '@cyclamenthread/state'
import { endpointEntry } from '@cyclamenthread/state/testing'
import type { EndpointEntry } from '@cyclamenthread/state'

test('a text has the software version of the endpoint that began it, until it is discarded', (t) => {
  const text = new SampleText()
  t.is(text.softwareVersion, undefined)
  text.startStream(endpointEntry('a', { softwareVersion: 's1' }))
  text.append('e1', 3)
  text.startStream(endpointEntry('b', { softwareVersion: 's2' }))
  t.is(text.softwareVersion, 's1')
  text.clear()
  t.is(text.softwareVersion, undefined)
  text.startStream(endpointEntry('b', { softwareVersion: 's2' }))
  t.is(text.softwareVersion, 's2')
  t.deepEqual([text.pieces, text.versions], [[], []])
})

test('a stream without an event leaves the software version open', (t) => {
  const text = new SampleText()
  text.startStream(endpointEntry('a', { softwareVersion: 's1' }))
  text.startStream(endpointEntry('b', { softwareVersion: 's2' }))
  t.is(text.softwareVersion, 's2')
})

test('a text that replaces another is of another generation, also if neither was ever discarded', (t) => {
  const known = { pieces: ['e1'], versions: [3], softwareVersion: 's1' }
  t.not(new SampleText(known).generation, new SampleText(known).generation)
  const text = new SampleText(known)
  const { generation } = text
  text.clear()
  t.not(text.generation, generation)
})

test('the deadline of a wait is that of its beginning, also across refused attempts, and ends with the next event', (t) => {
  const text = new SampleText({ pieces: ['e1'], versions: [3], softwareVersion: 's1' })
  text.wait(100)
  text.wait(200)
  t.is(text.waitDeadline, 100)
  text.startStream(endpointEntry('a'))
  t.is(text.waitDeadline, 100)
  text.append('e2', 3)
  t.is(text.waitDeadline, undefined)
})

const BEGINNING = endpointEntry('a', { softwareVersion: 's1' })
const CONTINUATION = endpointEntry('b', { softwareVersion: 's1' })
const RESTARTED = endpointEntry('b', { softwareVersion: 's2', bornAt: 2 })

/** Builds a text whose first two events come from one endpoint, answered at 0, and the third from another, answered at 100. */
function joinedText (): SampleText {
  const text = new SampleText()
  text.startStream(BEGINNING)
  text.recordAnswer(0)
  text.append('e1', 3)
  text.append('e2', 3)
  text.startStream(CONTINUATION)
  text.recordAnswer(100)
  text.append('e3', 4)
  return text
}

function findIn (...entries: EndpointEntry[]): (id: string) => EndpointEntry | undefined {
  return (id) => entries.find((entry) => entry.id === id)
}

test('a text is confirmed stream by stream, as soon as the registry would show a restart before the answer', (t) => {
  const text = joinedText()
  const lengths = [-1, 0, 99, 100].map((registeredUntil) => {
    t.is(text.check(findIn(BEGINNING, CONTINUATION), registeredUntil), TextCheck.Kept)
    return [text.confirmedPart.pieces.length, text.isUniform]
  })
  t.deepEqual(lengths, [[0, false], [2, false], [2, false], [3, true]])
  t.true(text.isConfirmed)
  text.append('e4', 4)
  t.is(text.confirmedPart.pieces.length, 4)
})

test('the part of an endpoint that has restarted is dropped, with its weight versions', (t) => {
  const text = joinedText()
  const { generation } = text
  t.is(text.check(findIn(BEGINNING, RESTARTED), 50), TextCheck.Shortened)
  t.deepEqual([text.pieces, text.versions, text.softwareVersion], [['e1', 'e2'], [3], 's1'])
  t.is(text.generation, generation)
})

test('a text whose beginning is in doubt is dropped if another stream continued it', (t) => {
  const text = joinedText()
  const { generation } = text
  t.is(text.check(findIn(endpointEntry('a', { softwareVersion: 's1', bornAt: 2 }), CONTINUATION), -1), TextCheck.Dropped)
  t.deepEqual([text.pieces, text.versions, text.softwareVersion], [[], [], undefined])
  t.not(text.generation, generation)
})

test('a text of one stream whose endpoint is in doubt may become whole, but has no known software version', (t) => {
  const text = new SampleText()
  text.startStream(CONTINUATION)
  text.recordAnswer(0)
  text.append('e1', 3)
  t.is(text.check(findIn(RESTARTED), -1), TextCheck.Kept)
  t.deepEqual([text.pieces, text.softwareVersion, text.isUniform], [['e1'], undefined, true])
  t.deepEqual(text.confirmedPart.pieces, [])
})

// Guards against joined texts: an endpoint restarted with another software version and left before the registry showed it.
test('an endpoint that left the registry puts its part in doubt, unless the part was confirmed before', (t) => {
  const text = joinedText()
  t.is(text.check(findIn(BEGINNING, CONTINUATION), 50), TextCheck.Kept)
  t.is(text.check(findIn(), 200), TextCheck.Shortened)
  t.deepEqual([text.pieces, text.softwareVersion, text.isConfirmed], [['e1', 'e2'], 's1', true])
  t.is(text.check(findIn(), 300), TextCheck.Kept)
  t.is(joinedText().check(findIn(), 200), TextCheck.Dropped)
})

test('the next owner confirms a text as the previous one would have', (t) => {
  const text = joinedText()
  const { pieces, versions, softwareVersion } = text
  const known = { pieces, versions, softwareVersion, unconfirmed: text.unconfirmedParts(400) }
  const next = new SampleText(known, 10_000)
  next.check(findIn(BEGINNING, CONTINUATION), 9_600)
  t.is(next.confirmedPart.pieces.length, 2)
  next.check(findIn(BEGINNING, CONTINUATION), 9_700)
  t.true(next.isConfirmed)
  t.is(new SampleText(known, 10_000).check(findIn(BEGINNING, RESTARTED), 9_600), TextCheck.Shortened)
})

/** Time after which the registry shows the start of an endpoint, in steps of the simulation. */
const MAX_LAG = 6

const steps = fc.array(fc.oneof(
  fc.record({ kind: fc.constant('restart' as const), id: fc.constantFrom('a', 'b'), version: fc.constantFrom('s1', 's2'), lag: fc.integer({ min: 0, max: MAX_LAG - 1 }) }),
  fc.record({ kind: fc.constant('leave' as const), id: fc.constantFrom('a', 'b'), lag: fc.integer({ min: 0, max: MAX_LAG - 1 }) }),
  fc.record({ kind: fc.constant('send' as const), id: fc.constantFrom('a', 'b') }),
  fc.record({ kind: fc.constant('event' as const) }),
  fc.record({ kind: fc.constant('wait' as const) })
), { maxLength: 60 })

// Guards against joined texts: endpoints restart under their ids with another software version, and the registry shows it late.
test('for any restarts, a confirmed part comes from its software version, and a uniform text from one', (t) => {
  fc.assert(fc.property(steps, (actions) => {
    const real = new Map(['a', 'b'].map((id) => [id, endpointEntry(id, { softwareVersion: 's1' })]))
    const shown = new Map(real)
    const pending: Array<{ readonly at: number, readonly id: string, readonly entry: EndpointEntry | undefined }> = []
    const text = new SampleText()
    let source: EndpointEntry | undefined
    for (const [now, action] of actions.entries()) {
      while (pending[0] !== undefined && pending[0].at <= now) {
        const { id, entry } = pending.shift() ?? pending[0]
        if (entry === undefined) shown.delete(id)
        else if (entry.bornAt > (shown.get(id)?.bornAt ?? 0)) shown.set(id, entry)
      }
      const before = text.pieces.length
      const check = text.check((id) => shown.get(id), now - MAX_LAG)
      if (check !== TextCheck.Kept) source = undefined
      t.true(text.pieces.length <= before)
      switch (action.kind) {
        case 'restart': {
          const entry = endpointEntry(action.id, { softwareVersion: action.version, bornAt: now + 2 })
          real.set(action.id, entry)
          pending.push({ at: now + action.lag, id: action.id, entry })
          pending.sort((a, b) => a.at - b.at)
          if (source?.id === action.id) source = undefined
          break
        }
        case 'leave':
          // What it hasn't registered by now never shows.
          pending.splice(0, pending.length, ...pending.filter(({ id }) => id !== action.id), { at: now + action.lag, id: action.id, entry: undefined })
          pending.sort((a, b) => a.at - b.at)
          break
        case 'send': {
          const entry = shown.get(action.id)
          if (source !== undefined || entry === undefined) break
          if (text.softwareVersion === undefined) text.clear()
          if (text.pieces.length > 0 && text.softwareVersion !== entry.softwareVersion) break
          text.startStream(entry)
          text.recordAnswer(now)
          source = real.get(action.id)
          break
        }
        case 'event':
          if (source !== undefined) text.append(source.softwareVersion, 3)
          break
        case 'wait': break
      }
      const { pieces, softwareVersion } = text.confirmedPart
      if (!pieces.every((mark) => mark === softwareVersion)) return false
      if (text.isUniform && new Set(text.pieces).size > 1) return false
    }
    return true
  }), { seed: 20_261_204, numRuns: 5_000 })
  t.pass()
})
