import { hostOfWriter, ownerOf, RolloutProgress } from '@cyclamenthread/state'
import { PeerMessageKind, RolloutReadStatus } from '@cyclamenthread/protocol'
import { deadlineAfter, monotonicNow, timeLeft } from '@cyclamenthread/transport'
import { LogEvent } from './event-log.js'
import { ReadTrace } from './read-trace.js'
import type { Host, RolloutOrder } from '@cyclamenthread/state'
import type { RolloutPage } from '@cyclamenthread/protocol'
import type { OwnerDirectory } from './owner-directory.js'
import type { RolloutRun } from './rollout-run.js'
import type { RunRegistry, RunRegistryContext } from './run-registry.js'

/** Time allowed for an owner's reply beyond the wait for a result, in milliseconds: a round trip between regions and a delay at a busy host. */
const OWNER_REPLY_MARGIN_MS = 450

/** Minimum time for a host to take a rollout over and answer a read, in milliseconds; trainers wait somewhat longer than they ask for. */
const TAKEOVER_TIMEOUT_MS = 900

/** Number of hosts that are asked before a host answers from the store itself. */
const MAX_HOSTS_ASKED = 2

/** Timeout for reading a rollout from the store, in milliseconds. */
const LOAD_TIMEOUT_MS = 2_500

/** Maximum age of the log copy behind an answer without results, in milliseconds: below the time within which a listed result must be visible on all hosts. */
const MAX_EMPTY_PAGE_AGE_MS = 900

/** Maximum output in one page of results, in characters. */
const MAX_PAGE_CHARACTERS = 900_000

/** Time beyond its wait after which a read is logged, in milliseconds: well above a usual read, below the time at which callers give up. */
const SLOW_READ_MS = 500

/** A read of a rollout's results. */
export interface RolloutRead {
  readonly id: string
  readonly workspace: string
  readonly after: number
  /** Monotonic milliseconds until which the read may wait for a result. */
  readonly deadline: number
  /** Whether another host has passed it on. */
  readonly forwarded: boolean
}

/**
 * Reads results of rollouts: from the run of their owner, or from the store. A read
 * that finds the owner lost makes the host that found it take the rollout over.
 *
 * Invariant: only results in the store are read.
 */
export class RolloutReader {
  readonly #context: RunRegistryContext
  readonly #directory: OwnerDirectory
  readonly #registry: RunRegistry

  constructor (context: RunRegistryContext, directory: OwnerDirectory, registry: RunRegistry) {
    this.#context = context
    this.#directory = directory
    this.#registry = registry
  }

  /** Reads results at the host that is likely to own the rollout. */
  async read (read: RolloutRead): Promise<RolloutPage> {
    return await this.#traced(read, async (trace) => await this.#readAnywhere(read, trace))
  }

  /** Reads results on this host: from its run, from the owner, or from the log. */
  async readHere (read: RolloutRead): Promise<RolloutPage> {
    return await this.#traced(read, async (trace) => await this.#readHere(read, trace))
  }

  /** Logs the steps of a read that fails or takes long. */
  async #traced (read: RolloutRead, step: (trace: ReadTrace) => Promise<RolloutPage>): Promise<RolloutPage> {
    const trace = new ReadTrace()
    const waitMs = Math.max(0, Math.round(timeLeft(read.deadline)))
    const page = await step(trace)
    if (page.status === RolloutReadStatus.Unavailable || trace.ageMs > waitMs + SLOW_READ_MS) {
      const { id, after, forwarded } = read
      this.#context.log.record(LogEvent.RolloutRead, { requestId: id, after, forwarded, outcome: page.status, results: page.results.length, steps: trace.steps, waitMs, tookMs: trace.ageMs })
    }
    return page
  }

  async #readAnywhere (read: RolloutRead, trace: ReadTrace): Promise<RolloutPage> {
    for (const host of this.#directory.likelyOwners(read.id, read.workspace).slice(0, MAX_HOSTS_ASKED)) {
      if (host.id === this.#context.self.id) return await this.#readHere(read, trace)
      const page = await this.#readAt(host, read, trace)
      if (page !== undefined) return page
    }
    return await trace.measure('store', async () => await this.#readFromStore(read), ({ status }) => status)
  }

  async #readHere (read: RolloutRead, trace: ReadTrace): Promise<RolloutPage> {
    const referred = await this.#readAtKnownOwner(read, trace)
    if (referred !== undefined) return referred
    const opened = await trace.measure('open', async () => await this.#registry.open(read.id), (result) => result.ok ? 'opened' : result.failure)
    if (!opened.ok) return emptyPage(RolloutReadStatus.Unavailable)
    if (opened.value === undefined || opened.value.order.workspace !== read.workspace) return emptyPage(RolloutReadStatus.Unknown)
    const { order, progress, run, owner } = opened.value
    if (run !== undefined) return await trace.measure('run', async () => await this.#readFromRun(run, read), ({ status }) => status)
    const fromStore = { ...pageOf(order, progress, read.after), owner }
    if (read.forwarded) return fromStore
    const host = this.#directory.findWorker(owner)
    const page = host === undefined ? undefined : await this.#readAt(host, { ...read, forwarded: true }, trace)
    if (page !== undefined) return page
    const lost = opened.value
    const taken = await trace.measure('take-over', async () => await this.#registry.takeOverIfLost(lost), (result) => result === undefined ? 'not taken' : 'taken')
    return taken === undefined ? fromStore : await this.#readFromRun(taken, read)
  }

  /** Passes a read on to the owner that this host last learned of; undefined if it knows none, or that host doesn't answer. */
  async #readAtKnownOwner (read: RolloutRead, trace: ReadTrace): Promise<RolloutPage | undefined> {
    const hint = this.#directory.hintOf(read.id)
    if (read.forwarded || hint === undefined || hint === this.#context.self.id || this.#registry.find(read.id) !== undefined) return undefined
    const host = this.#directory.findWorker(hint)
    return host === undefined ? undefined : await this.#readAt(host, { ...read, forwarded: true }, trace)
  }

  /** Reads results at another host; undefined if that host can't answer. */
  async #readAt (host: Host, { id, workspace, after, deadline, forwarded }: RolloutRead, trace: ReadTrace): Promise<RolloutPage | undefined> {
    const message = { kind: PeerMessageKind.ReadRollout, rolloutId: id, workspace, after, waitMs: timeLeft(deadline), forwarded } as const
    // A host that passes the read on needs time to notice that the owner doesn't answer.
    const marginMs = forwarded ? OWNER_REPLY_MARGIN_MS : OWNER_REPLY_MARGIN_MS * 2
    const replyDeadline = Math.max(deadline + marginMs, deadlineAfter(TAKEOVER_TIMEOUT_MS))
    const answer = await trace.measure(host.id, async () => await this.#context.bus.send(host, message, { deadline: replyDeadline }), (result) => result.ok ? result.value.status : result.failure)
    if (answer.ok) this.#directory.recordOwner(id, answer.value.owner)
    if (answer.ok && answer.value.status !== RolloutReadStatus.Unavailable) return answer.value
    if (answer.ok) this.#directory.markUnresponsive(host.id)
    else this.#directory.recordSilence(host.id, replyDeadline)
    this.#directory.forgetOwner(id)
    return undefined
  }

  async #readFromRun (run: RolloutRun, { after, deadline }: RolloutRead): Promise<RolloutPage> {
    if (run.progress.results.length < after && !await run.refreshProgress(0)) return emptyPage(RolloutReadStatus.Unavailable)
    if (run.progress.results.length <= after && deadline > monotonicNow()) await run.waitForResult(after, deadline)
    // Another host may have taken over and listed more results, so a stale copy can't show that there are none.
    if (run.progress.results.length <= after && !run.progress.ended && !await run.refreshProgress(MAX_EMPTY_PAGE_AGE_MS)) return emptyPage(RolloutReadStatus.Unavailable)
    return { ...pageOf(run.order, run.progress, after), owner: hostOfWriter(ownerOf(run.order, run.progress)) }
  }

  /** Reads a rollout from the store without running it. */
  async #readFromStore ({ id, workspace, after }: RolloutRead): Promise<RolloutPage> {
    const deadline = deadlineAfter(LOAD_TIMEOUT_MS)
    const order = await this.#context.store.readOrder(id, deadline)
    if (!order.ok) return emptyPage(RolloutReadStatus.Unavailable)
    if (order.value === undefined || order.value.workspace !== workspace) return emptyPage(RolloutReadStatus.Unknown)
    const progress = new RolloutProgress()
    const read = await this.#context.store.catchUp(id, progress, deadline)
    return read.ok ? pageOf(order.value, progress, after) : emptyPage(RolloutReadStatus.Unavailable)
  }
}

function emptyPage (status: RolloutReadStatus): RolloutPage {
  return { status, total: 0, results: [], ended: false, owner: '' }
}

function pageOf (order: RolloutOrder, progress: RolloutProgress, after: number): RolloutPage {
  let characters = 0
  const results = []
  for (const result of progress.results.slice(after)) {
    characters += result.output.length
    if (results.length > 0 && characters > MAX_PAGE_CHARACTERS) break
    results.push({ ...result, versions: [...result.versions] })
  }
  return { status: RolloutReadStatus.Found, total: order.samples.length, results, ended: progress.ended, owner: '' }
}
