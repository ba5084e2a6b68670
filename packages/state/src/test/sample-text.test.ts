import test from 'ava'
import { SampleText } from '@cyclamenthread/state'
import { endpointEntry } from '@cyclamenthread/state/testing'

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
