import test from 'ava'
import { CallTask, IGNORED_NOTICES, NO_CRASHES, NO_RELAY, RolloutRun, RolloutStore, SILENT_LOG, UNLIMITED_SENDS } from '@cyclamenthread/coordination'
import { WriteStatus } from '@cyclamenthread/protocol'
import { RolloutProgress, UsageTally } from '@cyclamenthread/state'
import { endpointEntry, rolloutOrder } from '@cyclamenthread/state/testing'
import { timeLeft } from '@cyclamenthread/transport'
import { openDeployment, waitUntil } from './deployment-fixture.js'
import { ScriptedEndpoints } from './scripted-endpoints.js'
import type { ObjectStore, StoreCall, WriteResult } from '@cyclamenthread/protocol'
import type { ExecutionContext } from 'ava'

const LOCATION = { failureDomain: 'leith-walk', region: 'lothian', regions: { 'leith-walk': 'lothian' } }

/** Samples of the rollout that is stopped. */
const SAMPLES = 12

/** Period of the timer by which the tests see whether the process serves anything else, and the longest pause that they allow, in milliseconds. */
const TICK_MS = 5
const MAX_PAUSE_MS = 150

/** How the store treats a write: `write` is what takes effect and answers. */
type WriteScript = (write: () => Promise<WriteResult>, call: StoreCall) => Promise<WriteResult>

const sleep = async (milliseconds: number): Promise<void> => await new Promise((resolve) => setTimeout(resolve, milliseconds))

const afterMs = (milliseconds: number): WriteScript => async (write, call) => {
  const isAnswered = milliseconds < timeLeft(call.deadline)
  await sleep(isAnswered ? milliseconds : timeLeft(call.deadline))
  return isAnswered ? await write() : { status: WriteStatus.Unknown, detail: 'no answer' }
}

const atOnce: WriteScript = async (write) => await write()

interface StoppedRun {
  readonly run: RolloutRun
  /** Writes of results that the store has got so far. */
  readonly writes: () => number
  /** Replaces the treatment of all further writes. */
  readonly setScript: (script: WriteScript) => void
}

/** Starts a run whose samples end one after the other, at a store that treats the writes of its log by a script. */
async function startRun (t: ExecutionContext, first: WriteScript): Promise<StoppedRun> {
  const { store, view } = openDeployment(t)
  store.set('servers/a', endpointEntry('a', { slots: SAMPLES }))
  await waitUntil(t, () => view.endpointTable.find('a') !== undefined)
  let script = first
  let writes = 0
  const scripted: ObjectStore = {
    read: async (key, call) => await store.read(key, call),
    list: async (prefix, call) => await store.list(prefix, call),
    write: async (key, value, expectation, call) => {
      writes += 1
      call.observer?.onSent(performance.now())
      return await script(async () => await store.write(key, value, expectation, call), call)
    },
    remove: async (key, version, call) => await store.remove(key, version, call),
    watch: async (prefix, after, call) => await store.watch(prefix, after, call)
  }
  const endpoints = new ScriptedEndpoints()
  const calls = new CallTask({ deployment: view, endpoints, sends: UNLIMITED_SENDS, notices: IGNORED_NOTICES, relay: NO_RELAY, crashes: NO_CRASHES, networkLocation: LOCATION, tally: new UsageTally(60_000), log: SILENT_LOG })
  const context = { deployment: view, endpoints, sends: UNLIMITED_SENDS, notices: IGNORED_NOTICES, relay: NO_RELAY, calls, store: new RolloutStore(scripted), networkLocation: LOCATION, writer: 'w', log: SILENT_LOG }
  const run = new RolloutRun(context, rolloutOrder(1, SAMPLES), new RolloutProgress())
  t.teardown(() => run.stop())
  run.start()
  return {
    run,
    writes: () => writes,
    setScript: (next) => {
      script = next
    }
  }
}

/** Measures how long an action takes, and the longest time for which the process ran no timer meanwhile, in milliseconds. */
async function measure (action: () => Promise<void>): Promise<{ readonly tookMs: number, readonly pauseMs: number }> {
  const startedAt = performance.now()
  let pauseMs = 0
  let tickAt = startedAt
  const tick = (): void => {
    pauseMs = Math.max(pauseMs, performance.now() - tickAt)
    tickAt = performance.now()
  }
  const timer = setInterval(tick, TICK_MS)
  await action()
  tick()
  clearInterval(timer)
  return { tookMs: performance.now() - startedAt, pauseMs }
}

// Guards against a process that answers nothing, the store included, while it stops, because a loop waits for a write that is under way without letting go of the event loop (LOST).
test('a host that is stopped while it writes results serves its callers meanwhile, and lists what has settled', async (t) => {
  const { run, writes } = await startRun(t, afterMs(300))
  await waitUntil(t, () => writes() === 1)
  const { tookMs, pauseMs } = await measure(async () => await run.flushResults(performance.now() + 2_000))
  t.true(pauseMs < MAX_PAUSE_MS, `${Math.round(pauseMs)} ms without a timer`)
  t.true(tookMs < 1_500, `${Math.round(tookMs)} ms`)
  t.deepEqual(run.handOver().results, [])
  t.is(run.progress.results.length, SAMPLES)
})

test('a host that is stopped while its writes fail lists what has settled once they succeed', async (t) => {
  const { run, writes, setScript } = await startRun(t, async () => ({ status: WriteStatus.NotWritten, detail: 'refused' }))
  await waitUntil(t, () => writes() === 2)
  setTimeout(() => setScript(atOnce), 200)
  const { pauseMs } = await measure(async () => await run.flushResults(performance.now() + 2_000))
  t.true(pauseMs < MAX_PAUSE_MS, `${Math.round(pauseMs)} ms without a timer`)
  t.deepEqual(run.handOver().results, [])
})

// Guards against rollouts that a planned stop leaves behind, with their results, because it waits for one write until all of its time is over.
for (const [what, script] of [['slow', afterMs(1_100)], ['away', afterMs(Infinity)]] as const) {
  test(`a host that is stopped while its store is ${what} keeps to its time, and hands over what it could not list`, async (t) => {
    const { run, writes } = await startRun(t, script)
    await waitUntil(t, () => writes() === 1)
    const { tookMs, pauseMs } = await measure(async () => await run.flushResults(performance.now() + 400))
    t.true(tookMs < 400 + MAX_PAUSE_MS, `${Math.round(tookMs)} ms`)
    t.true(pauseMs < MAX_PAUSE_MS, `${Math.round(pauseMs)} ms without a timer`)
    t.is(run.handOver().results.length, SAMPLES)
  })
}
