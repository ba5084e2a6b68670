import { CallTask, IGNORED_NOTICES, LocalBroker, NO_CRASHES, NO_RELAY, RolloutStore, RolloutTask, SILENT_LOG, UNLIMITED_SENDS } from '@cyclamenthread/coordination'
import { PeerMessageKind, rolloutKey, rolloutSegmentKey, WriteStatus } from '@cyclamenthread/protocol'
import { SampleState, UsageTally } from '@cyclamenthread/state'
import { rolloutOrder } from '@cyclamenthread/state/testing'
import { timeLeft } from '@cyclamenthread/transport'
import { openDeployment } from './deployment-fixture.js'
import { ScriptedEndpoints } from './scripted-endpoints.js'
import type { MemberView, MessageBus, SendOptions } from '@cyclamenthread/coordination'
import type { ObjectStore, PeerMessage } from '@cyclamenthread/protocol'
import type { Host, RolloutOrder } from '@cyclamenthread/state'
import type { ExecutionContext } from 'ava'

const LOCATION = { failureDomain: 'leith-walk', region: 'lothian', regions: { 'leith-walk': 'lothian' } }

/** Time that a message between hosts takes there and back, in milliseconds. */
const ROUND_TRIP_MS = 4

/** Hosts of which some leave messages without an answer until the sender gives up. */
export interface SilentHostsFixture {
  readonly ids: readonly string[]
  readonly tasks: ReadonlyMap<string, RolloutTask>
  readonly silent: Set<string>
  /** Hosts whose writes the store refuses. */
  readonly refused: Set<string>
  /** Messages that were sent between hosts. */
  readonly sent: Array<{ readonly from: string, readonly to: string, readonly kind: PeerMessageKind }>
  readonly store: ReturnType<typeof openDeployment>['store']
  readonly endpoints: ScriptedEndpoints
  /** Response time of the store for rollouts, in milliseconds. */
  readonly latency: { storeMs: number }
  /** Keys about rollouts that were read from the store. */
  readonly reads: string[]
}

function createHost (id: string): Host {
  return { id, region: 'lothian', failureDomain: `zone-${id}`, peerAddress: id, callerUrl: '', hasDataFolder: false }
}

const sleep = async (milliseconds: number): Promise<void> => await new Promise((resolve) => setTimeout(resolve, milliseconds))

/** Creates hosts that share a store and reach each other unless one is silent. */
export function openSilentHosts (t: ExecutionContext, count: number): SilentHostsFixture {
  const { store, view } = openDeployment(t)
  const ids = Array.from({ length: count }, (_, index) => `h${index + 1}`)
  const silent = new Set<string>()
  const refused = new Set<string>()
  const sent: Array<{ readonly from: string, readonly to: string, readonly kind: PeerMessageKind }> = []
  const latency = { storeMs: 2 }
  const reads: string[] = []
  const brokers = new Map(ids.map((id) => [id, new LocalBroker()]))
  const busOf = (from: string): MessageBus => ({
    send: async (host: Host, message: PeerMessage, { deadline, signal = new AbortController().signal }: SendOptions) => {
      sent.push({ from, to: host.id, kind: message.kind })
      const silence = new Promise((resolve) => {
        const give = (): void => resolve({ ok: false, failure: 'no-reply' })
        setTimeout(give, timeLeft(deadline))
        signal.addEventListener('abort', give)
      })
      const answer = async (): Promise<unknown> => {
        if (host.id !== from) await sleep(ROUND_TRIP_MS)
        if (silent.has(host.id)) return await silence
        if (message.kind === PeerMessageKind.Probe) return { ok: true, value: { hostId: host.id, state: 'alive', catalogueRevision: 0 } }
        const value = await brokers.get(host.id)?.call(message.kind, message, { meta: { from, deadline, traceparent: '', signal } })
        return silent.has(host.id) ? await silence : { ok: true, value }
      }
      return await Promise.race([answer(), silence])
    }
  } as unknown as MessageBus)
  const slow = async (key: string): Promise<void> => {
    reads.push(key)
    await sleep(latency.storeMs)
  }
  const storeOf = (id: string): ObjectStore => ({
    read: async (key, call) => await slow(key).then(async () => await store.read(key, call)),
    list: async (prefix, call) => await store.list(prefix, call),
    write: async (key, value, expectation, call) => refused.has(id) ? { status: WriteStatus.NotWritten, detail: 'refused' } : await store.write(key, value, expectation, call),
    remove: async (key, version, call) => await store.remove(key, version, call),
    watch: async (prefix, after, call) => await store.watch(prefix, after, call)
  })
  const endpoints = new ScriptedEndpoints()
  const calls = new CallTask({ deployment: view, endpoints, sends: UNLIMITED_SENDS, notices: IGNORED_NOTICES, relay: NO_RELAY, crashes: NO_CRASHES, networkLocation: LOCATION, tally: new UsageTally(60_000), log: SILENT_LOG })
  const members = { workers: () => ids.map(createHost), isSuspected: () => false, reportSilence: () => {} } as unknown as MemberView
  const tasks = new Map(ids.map((id) => {
    const task = new RolloutTask({
      self: createHost(id), members, bus: busOf(id), deployment: view, endpoints, sends: UNLIMITED_SENDS, notices: IGNORED_NOTICES, relay: NO_RELAY, calls, store: new RolloutStore(storeOf(id)), networkLocation: LOCATION, writer: id, log: SILENT_LOG
    })
    brokers.get(id)?.createService(task.service())
    t.teardown(() => task.stop())
    return [id, task] as const
  }))
  return { ids, tasks, silent, refused, sent, store, endpoints, latency, reads }
}

/** Stores a rollout of which each sample has a result, one in each entry of its log, but for the last `open` ones. */
export function storeRollout ({ store }: SilentHostsFixture, samples: number, options: { readonly owner?: string, readonly open?: number } = {}): RolloutOrder {
  const { owner = '', open = 0 } = options
  const order = { ...rolloutOrder(1, samples), owner }
  store.set(rolloutKey(order.id), order)
  for (const [position, { id }] of order.samples.slice(0, samples - open).entries()) {
    store.set(rolloutSegmentKey(order.id, position), { writer: owner, results: [{ id, state: SampleState.Completed, output: id, versions: [1] }], texts: [], ended: false })
  }
  return order
}
