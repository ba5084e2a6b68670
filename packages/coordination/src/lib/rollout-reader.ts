import { hostOfWriter, ownerOf } from '@cyclamenthread/state'
import { PeerMessageKind, RolloutReadStatus, StoreFailure } from '@cyclamenthread/protocol'
import { monotonicNow, suspendAwareNow, timeLeft } from '@cyclamenthread/transport'
import { LogEvent } from './event-log.js'
import { ReadTrace } from './read-trace.js'
import { isComplete } from './rollout-loader.js'
import { firstMatch, untilDeadline } from './shared-work.js'
import type { Host, RolloutOrder, RolloutProgress } from '@cyclamenthread/state'
import type { RolloutPage } from '@cyclamenthread/protocol'
import type { OwnerDirectory } from './owner-directory.js'
import type { RolloutRun } from './rollout-run.js'
import type { OpenedRollout, RunRegistry, RunRegistryContext } from './run-registry.js'
import type { WatchedRequests } from './watched-request.js'

/** Time that a host which is asked by another answers before that one stops waiting, in milliseconds: a round trip between regions and a delay of timers. */
const REPLY_MARGIN_MS = 100

/** Time that is left for a read of the log's end when other hosts haven't answered, in milliseconds: several response times of a store in another region. */
const LAST_READ_MS = 250

/** Time for which a host must have been asked for its silence to count against it as an owner, in milliseconds. */
const MIN_SILENCE_MS = 900

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
  /** Monotonic milliseconds by which the read must be answered, if only with a refusal. */
  readonly replyBy: number
  /** Whether another host has passed it on. */
  readonly forwarded: boolean
}

/**
 * Reads results of rollouts: from the run of their owner, or from the store. A read
 * that finds the owner lost makes the host that found it take the rollout over, and
 * doesn't wait for that if there are results.
 *
 * Invariants: only results in the store are read; a read is answered in its time,
 * whatever other hosts and the store do.
 */
export class RolloutReader {
  readonly #context: RunRegistryContext
  readonly #directory: OwnerDirectory
  readonly #registry: RunRegistry
  readonly #requests: WatchedRequests

  constructor (context: RunRegistryContext, directory: OwnerDirectory, registry: RunRegistry, requests: WatchedRequests) {
    this.#context = context
    this.#directory = directory
    this.#registry = registry
    this.#requests = requests
  }

  /** Reads results at the host that is likely to own the rollout. */
  async read (read: RolloutRead): Promise<RolloutPage> {
    return await this.#traced(read, async (trace) => await this.#readAnywhere(read, trace))
  }

  /** Reads results on this host for another one: from its run, from the owner, or from the log. */
  async readHere (asked: RolloutRead): Promise<RolloutPage> {
    const read = { ...asked, replyBy: asked.replyBy - REPLY_MARGIN_MS }
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
    if (this.#registry.holds(read.id)) return await this.#readHere(read, trace)
    const [first, second] = this.#directory.likelyOwners(read.id, read.workspace).filter(({ id }) => !this.#directory.isSilent(id))
    if (first === undefined) return await this.#readFromStore(read, trace)
    if (first.id === this.#context.self.id) return await this.#readHere(read, trace)
    const page = await this.#readAt(first, read, trace)
    if (page !== undefined) return page
    if (second === undefined) return await this.#readFromStore(read, trace)
    return second.id === this.#context.self.id ? await this.#readHere(read, trace) : await this.#readHedged(second, read, trace)
  }

  /** Reads results at another host and from the store at the same time, as much of the time for the read has passed. */
  async #readHedged (host: Host, read: RolloutRead, trace: ReadTrace): Promise<RolloutPage> {
    const asked = this.#readAt(host, read, trace)
    const stored = this.#readFromStore(read, trace)
    const conclusive = await firstMatch<RolloutPage | undefined>([asked, stored], (page) => page !== undefined && isConclusive(page, read.after))
    return conclusive ?? await asked ?? await this.#readFromStore(read, trace)
  }

  async #readHere (read: RolloutRead, trace: ReadTrace): Promise<RolloutPage> {
    const referred = await this.#readAtKnownOwner(read, trace)
    if (referred !== undefined) return referred
    const opened = await trace.measure('open', async () => await this.#registry.open(read.id, read.replyBy, ({ results }) => results.length > read.after), (result) => result.ok ? 'opened' : result.failure)
    if (!opened.ok) return unavailablePage(opened.failure)
    if (opened.value === undefined || opened.value.order.workspace !== read.workspace) return emptyPage(RolloutReadStatus.Unknown)
    const { run } = opened.value
    return run === undefined ? await this.#readFromOther(opened.value, read, trace) : await this.#readFromRun(run, read, trace)
  }

  /** Reads results of a rollout that this host doesn't run: from its owner, or from what is stored if that host shows no sign of life. */
  async #readFromOther (opened: OpenedRollout, read: RolloutRead, trace: ReadTrace): Promise<RolloutPage> {
    const { order, progress, owner, readAt } = opened
    const stored = { ...pageOf(order, progress, read.after), owner }
    if (read.forwarded || readAt === -Infinity || isComplete(order, progress)) return stored
    const host = this.#directory.findWorker(owner)
    const page = host === undefined || this.#directory.isSilent(owner) ? undefined : await this.#readAt(host, { ...read, forwarded: true }, trace)
    if (page !== undefined) return page
    const taking = this.#registry.takeOverIfLost(opened)
    if (stored.results.length > 0) return stored
    const taken = await trace.measure('take-over', async () => await untilDeadline(taking, read.replyBy - LAST_READ_MS), (result) => result === undefined ? 'not taken' : 'taken')
    if (taken !== undefined) return await this.#readFromRun(taken, read, trace)
    return suspendAwareNow() - readAt > MAX_EMPTY_PAGE_AGE_MS ? await this.#readFromStore(read, trace) : stored
  }

  /** Passes a read on to the owner that this host last learned of; undefined if it knows none, or that host doesn't answer. */
  async #readAtKnownOwner (read: RolloutRead, trace: ReadTrace): Promise<RolloutPage | undefined> {
    const hint = this.#directory.hintOf(read.id)
    if (read.forwarded || hint === undefined || hint === this.#context.self.id || this.#registry.holds(read.id)) return undefined
    const host = this.#directory.findWorker(hint)
    return host === undefined || this.#directory.isSilent(hint) ? undefined : await this.#readAt(host, { ...read, forwarded: true }, trace)
  }

  /** Reads results at another host; undefined if that host can't answer or shows no sign of life. */
  async #readAt (host: Host, { id, workspace, after, deadline, replyBy, forwarded }: RolloutRead, trace: ReadTrace): Promise<RolloutPage | undefined> {
    const message = { kind: PeerMessageKind.ReadRollout, rolloutId: id, workspace, after, waitMs: timeLeft(deadline), forwarded } as const
    const replyDeadline = replyBy - LAST_READ_MS
    const askedMs = timeLeft(replyDeadline)
    const answer = await trace.measure(host.id, async () => await this.#requests.ask(host, message, replyDeadline), (result) => result.ok ? result.value.status : result.failure)
    if (answer.ok) this.#directory.recordOwner(id, answer.value.owner)
    if (answer.ok && (answer.value.status !== RolloutReadStatus.Unavailable || answer.value.loading)) return answer.value
    // A host that was passed over early may just be slow; one that can't be reached is not.
    const counts = monotonicNow() < replyDeadline ? !this.#directory.isSilent(host.id) : askedMs >= MIN_SILENCE_MS
    if (answer.ok) this.#directory.markUnresponsive(host.id)
    else if (counts) this.#directory.recordSilence(host.id, replyDeadline)
    this.#directory.forgetOwner(id)
    return undefined
  }

  async #readFromRun (run: RolloutRun, read: RolloutRead, trace: ReadTrace): Promise<RolloutPage> {
    const reading = this.#awaitResults(run, read)
    return await trace.measure('run', async () => await untilDeadline(reading, read.replyBy) ?? emptyPage(RolloutReadStatus.Unavailable), ({ status }) => status)
  }

  async #awaitResults (run: RolloutRun, { after, deadline }: RolloutRead): Promise<RolloutPage> {
    if (run.progress.results.length < after && !await run.refreshProgress(0)) return emptyPage(RolloutReadStatus.Unavailable)
    if (run.progress.results.length <= after && deadline > monotonicNow()) await run.waitForResult(after, deadline)
    // Another host may have taken over and listed more results, so a stale copy can't show that there are none.
    if (run.progress.results.length <= after && !run.progress.ended && !await run.refreshProgress(MAX_EMPTY_PAGE_AGE_MS)) return emptyPage(RolloutReadStatus.Unavailable)
    return { ...pageOf(run.order, run.progress, after), owner: hostOfWriter(ownerOf(run.order, run.progress)) }
  }

  /** Reads a rollout from the store without running it. */
  async #readFromStore ({ id, workspace, after, replyBy }: RolloutRead, trace: ReadTrace): Promise<RolloutPage> {
    const loaded = await trace.measure('store', async () => await this.#registry.load(id, replyBy, ({ results }) => results.length > after), (result) => result.ok ? 'read' : result.failure)
    if (!loaded.ok) return unavailablePage(loaded.failure)
    if (loaded.value === undefined || loaded.value.order.workspace !== workspace) return emptyPage(RolloutReadStatus.Unknown)
    return pageOf(loaded.value.order, loaded.value.progress, after)
  }
}

/** Whether no other source can add anything to a page now. */
function isConclusive ({ status, results, ended, total }: RolloutPage, after: number): boolean {
  return status === RolloutReadStatus.Unknown || (status === RolloutReadStatus.Found && (results.length > 0 || ended || after >= total))
}

/** A page of a host that couldn't read the log; its load goes on if the store answers. */
function unavailablePage (reason: StoreFailure): RolloutPage {
  return { ...emptyPage(RolloutReadStatus.Unavailable), loading: reason === StoreFailure.Timeout }
}

function emptyPage (status: RolloutReadStatus): RolloutPage {
  return { status, total: 0, results: [], ended: false, owner: '', loading: false }
}

function pageOf (order: RolloutOrder, progress: RolloutProgress, after: number): RolloutPage {
  let characters = 0
  const results = []
  for (const result of progress.results.slice(after)) {
    characters += result.output.length
    if (results.length > 0 && characters > MAX_PAGE_CHARACTERS) break
    results.push({ ...result, versions: [...result.versions] })
  }
  return { status: RolloutReadStatus.Found, total: order.samples.length, results, ended: progress.ended, owner: '', loading: false }
}
