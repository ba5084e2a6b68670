import test from 'ava'
import { readSampleStream, StreamEnd } from '@cyclamenthread/coordination'
import { StreamPartKind } from '@cyclamenthread/protocol'
import { SampleText } from '@cyclamenthread/state'
import { endpointEntry } from '@cyclamenthread/state/testing'
import { ScriptedEndpoints } from './scripted-endpoints.js'
import type { TextRule } from '@cyclamenthread/coordination'
import type { EndpointRequest } from '@cyclamenthread/protocol'

const RULE: TextRule = { minVersion: 1, singleVersion: false, limit: { maxEvents: 400, maxCharacters: 4_000 } }

function requestTo (id: string, signal: AbortSignal): EndpointRequest {
  return {
    endpoint: endpointEntry(id), requestId: 's', method: 'POST', path: '/', headers: [], body: new Uint8Array(), workspace: 'w', deadline: undefined, startBefore: undefined, signal
  }
}

// Guards against an answer with an empty body that counts as a whole text (MIXED).
test('a stream that ends without an event is no text', async (t) => {
  const endpoints = new ScriptedEndpoints()
  endpoints.streamScripts.set('a', async function * () {
    yield { kind: StreamPartKind.Start, version: 3, load: undefined }
    yield { kind: StreamPartKind.End }
  })
  const abort = new AbortController()
  const observer = { onStart: () => {}, onNotice: () => {}, onEvent: () => {}, onVersion: () => {}, onPace: () => {} }
  const { end } = await readSampleStream(endpoints, requestTo('a', abort.signal), new SampleText(), RULE, observer, abort)
  t.is(end, StreamEnd.Broken)
})

// Guards against a text without end that fills the memory of a host, by its events or by their length (LOST).
test('a stream that sends more than its text may hold is given up', async (t) => {
  for (const [length, last] of [[1, 401], [1_000, 5]] as const) {
    const endpoints = new ScriptedEndpoints()
    let sent = 0
    endpoints.streamScripts.set('a', async function * () {
      yield { kind: StreamPartKind.Start, version: 3, load: undefined }
      for (sent = 1; ; sent += 1) yield { kind: StreamPartKind.Event, id: sent, data: 'x'.repeat(length), version: undefined }
    })
    const abort = new AbortController()
    const observer = { onStart: () => {}, onNotice: () => {}, onEvent: () => {}, onVersion: () => {}, onPace: () => {} }
    const { end } = await readSampleStream(endpoints, requestTo('a', abort.signal), new SampleText(), RULE, observer, abort)
    t.is(end, StreamEnd.Overrun)
    t.is(sent, last)
  }
})

// Guards against joined texts: a text that was shortened together with the abort of its stream counted as whole.
test('a stream that was aborted neither adds an event nor counts as whole, even if its end arrives', async (t) => {
  for (const last of [{ kind: StreamPartKind.End } as const, { kind: StreamPartKind.Event, id: 2, data: 'e2', version: undefined } as const]) {
    const abort = new AbortController()
    const endpoints = new ScriptedEndpoints()
    endpoints.streamScripts.set('a', async function * () {
      yield { kind: StreamPartKind.Start, version: 3, load: undefined }
      yield { kind: StreamPartKind.Event, id: 1, data: 'e1', version: undefined }
      abort.abort()
      yield last
    })
    const text = new SampleText()
    const observer = { onStart: () => {}, onNotice: () => {}, onEvent: () => {}, onVersion: () => {}, onPace: () => {} }
    const { end } = await readSampleStream(endpoints, requestTo('a', abort.signal), text, RULE, observer, abort)
    t.is(end, StreamEnd.Cancelled)
    t.deepEqual(text.pieces, ['e1'])
  }
})
