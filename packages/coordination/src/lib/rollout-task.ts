import { failure, notRun, Ran, rankOwners, RefusalReason, RolloutProgress, success } from '@cyclamenthread/state'
import { PeerMessageKind, RolloutCreationStatus, RolloutReadStatus } from '@cyclamenthread/protocol'
import { deadlineAfter, monotonicNow, timeLeft } from '@cyclamenthread/transport'
import { LogEvent } from './event-log.js'
import { Periodic } from './periodic.js'
import { RolloutRun } from './rollout-run.js'
import { taskService } from './task.js'
import type { ServiceSchema } from 'moleculer'
import type { Host, Outcome, Refusal, RolloutOrder } from '@cyclamenthread/state'
import type { AdoptRollout, RolloutPage } from '@cyclamenthread/protocol'
import type { MemberView } from './member-task.js'
import type { MessageBus } from './message-bus.js'
import type { RolloutContext } from './rollout-context.js'

/** Timeout for storing a rollout, in milliseconds; leaves another host the same time before the caller's timeout. */
const ACCEPT_TIMEOUT_MS = 900

/** Maximum number of other hosts that are asked in turn to store a rollout that this host can't store. */
const MAX_OTHER_ACCEPTORS = 2

/** Time allowed for an owner's reply beyond the wait for a result, in milliseconds: a round trip between regions and a delay at a busy host. */
const OWNER_REPLY_MARGIN_MS = 450

/** Time for which a host that did not answer is ranked last, in milliseconds. */
const UNRESPONSIVE_BACKOFF_MS = 2_000

/** Number of owners that are asked before a host answers from the store itself. */
const MAX_OWNERS = 2

/** Timeout for reading a rollout from the store, in milliseconds. */
const LOAD_TIMEOUT_MS = 2_500

/** Timeout for ending a rollout, in milliseconds. */
const END_TIMEOUT_MS = 3_500

/** Timeout for a request to an owner to end or adopt a rollout, in milliseconds. */
const OWNER_REQUEST_TIMEOUT_MS = 1_200

/** Retry delay suggested to a trainer while the store is unavailable, in milliseconds. */
const RETRY_AFTER_MS = 500

/** Maximum age of the log copy behind an answer without results, in milliseconds: below the time within which a listed result must be visible on all hosts. */
const MAX_EMPTY_PAGE_AGE_MS = 900

/** Interval at which a host checks for runs that belong to another host, in milliseconds. */
const RETURN_PERIOD_MS = 1_000

/** Minimum time that a rollout stays with a host that took it over, in milliseconds: until the hosts agree on which hosts are alive. */
const MIN_OWNERSHIP_MS = 1_500

/** Maximum output in one page of results, in characters. */
const MAX_PAGE_CHARACTERS = 900_000

/** Dependencies of a {@link RolloutTask}. */
export interface RolloutTaskContext extends RolloutContext {
  readonly self: Host
  readonly members: MemberView
  readonly bus: MessageBus
  /** Called with each accepted rollout. */
  readonly onAccepted?: (order: RolloutOrder) => void
}

/**
 * Accepts rollouts, runs those placed on this host, and forwards reads to their
 * owners. The owner is chosen by rendezvous hashing over the live hosts of the
 * region; the first read after an owner has become unreachable makes the next one
 * take over from the store.
 *
 * Invariants: a rollout is accepted only once the store has it; only results in
 * the store are listed; "no such rollout" is answered only after a read of the
 * store.
 */
export class RolloutTask {
  readonly #context: RolloutTaskContext
  readonly #runs = new Map<string, RolloutRun>()
  readonly #loading = new Map<string, Promise<Outcome<RolloutRun | undefined, string>>>()
  readonly #orders = new Map<string, RolloutOrder>()
  readonly #unresponsiveUntil = new Map<string, number>()
  /** Monotonic time in milliseconds before which a rollout is not handed over, by rollout id. */
  readonly #keptUntil = new Map<string, number>()
  readonly #returnLoop: Periodic
  #leaving = false

  constructor (context: RolloutTaskContext) {
    this.#context = context
    this.#returnLoop = new Periodic(RETURN_PERIOD_MS, async () => await this.#returnMisplacedRuns())
  }

  /** Starts handing rollouts back to the hosts that they belong to. */
  async start (): Promise<void> {
    await this.#returnLoop.start()
  }

  /** Creates the broker service that answers other hosts. */
  service (): ServiceSchema {
    return taskService('rollouts', {
      [PeerMessageKind.AcceptRollout]: async ({ order }) => ({ creation: await this.#create(order) }),
      [PeerMessageKind.RunRollout]: async ({ rolloutId, order }) => {
        if (this.#leaving) return { accepted: false }
        if (order === undefined) void this.#loadRun(rolloutId)
        else this.#startRun(order, new RolloutProgress())
        return { accepted: true }
      },
      [PeerMessageKind.AdoptRollout]: async (handover) => ({ accepted: await this.#adoptRollout(handover) }),
      [PeerMessageKind.ReadRollout]: async ({ rolloutId, workspace, after, waitMs }) =>
        await this.#readFromRun(rolloutId, workspace, after, deadlineAfter(waitMs)),
      [PeerMessageKind.EndRollout]: async ({ rolloutId, workspace }) => {
        const run = this.#runs.get(rolloutId)
        return { accepted: run?.order.workspace === workspace && await run.appendEnd(deadlineAfter(END_TIMEOUT_MS)) }
      }
    })
  }

  /** Number of rollouts that run on this host. */
  get running (): number {
    return [...this.#runs.values()].filter((run) => !run.isFinished).length
  }

  /**
   * Accepts no more runs and hands the current ones over to their next owners.
   * Settled results are listed first, so a rollout that no host adopts can be
   * continued from the store.
   */
  async leave (deadline: number): Promise<void> {
    this.#leaving = true
    await Promise.all([...this.#runs.values()].filter((run) => !run.isFinished).map(async (run) => {
      await run.flushResults(deadline)
      if (!run.isFinished) await this.#handOver(run, deadline)
    }))
  }

  async #handOver (run: RolloutRun, deadline: number): Promise<void> {
    const handover = run.handOver()
    for (const owner of this.#rankedOwners(run.order.workspace)) {
      if (owner.id !== this.#context.self.id && await this.#sendHandover(handover, owner, deadline)) return
    }
  }

  /** Sends a rollout to another host; returns whether it has adopted it. */
  async #sendHandover (handover: AdoptRollout, to: Host, deadline: number): Promise<boolean> {
    const answer = await this.#context.bus.send(to, handover, { deadline: Math.min(deadline, deadlineAfter(OWNER_REQUEST_TIMEOUT_MS)) })
    const accepted = answer.ok && answer.value.accepted
    this.#context.log.record(LogEvent.RolloutHandedOver, { requestId: handover.order.id, to: to.id, texts: handover.texts.length, results: handover.results.length, outcome: accepted ? 'accepted' : 'refused' })
    return accepted
  }

  /**
   * Hands rollouts that this host took over back to the host that they belong to,
   * so that two hosts don't run the same samples for long.
   */
  async #returnMisplacedRuns (): Promise<void> {
    const now = monotonicNow()
    for (const [id, run] of this.#runs) {
      const [owner] = this.#rankedOwners(run.order.workspace)
      const isMisplaced = owner !== undefined && owner.id !== this.#context.self.id && (this.#unresponsiveUntil.get(owner.id) ?? 0) <= now
      if (run.isFinished || this.#leaving || !isMisplaced || now < (this.#keptUntil.get(id) ?? 0)) continue
      const handover = run.handOver()
      const accepted = await this.#sendHandover(handover, owner, Infinity)
      this.#runs.delete(id)
      if (!accepted) this.#startRun(run.order, run.progress, handover)
    }
  }

  /** Continues a rollout that another host hands over. */
  async #adoptRollout (handover: AdoptRollout): Promise<boolean> {
    if (this.#leaving) return false
    const { order } = handover
    const known = this.#runs.get(order.id)
    if (known !== undefined) {
      // A host that can't reach the store couldn't list any results.
      if (!await known.refreshProgress(0)) return false
      known.adopt(handover)
      return true
    }
    const progress = new RolloutProgress()
    const read = await this.#context.store.catchUp(order.id, progress, deadlineAfter(LOAD_TIMEOUT_MS))
    if (!read.ok) return false
    this.#startRun(order, progress, handover)
    return true
  }

  /** Stops all runs. */
  stop (): void {
    this.#leaving = true
    void this.#returnLoop.stop()
    for (const run of this.#runs.values()) run.stop()
  }

  /** Accepts a rollout; success means that it is stored. */
  async accept (order: RolloutOrder): Promise<Outcome<void, Refusal>> {
    const creation = await this.#createOnAnyHost(order)
    this.#context.log.record(LogEvent.RolloutAccepted, {
      requestId: order.id, workspace: order.workspace, route: order.route, step: order.step, minVersion: order.minVersion, samples: order.samples.length, outcome: creation
    })
    switch (creation) {
      case RolloutCreationStatus.Refused:
        return failure(notRun(RefusalReason.StoreUnavailable, 'the store refused the rollout', RETRY_AFTER_MS))
      case RolloutCreationStatus.Unknown:
        return failure({ reason: RefusalReason.OutcomeUnknown, ran: Ran.Maybe, detail: 'the store did not confirm the rollout' })
      case RolloutCreationStatus.Known:
      case RolloutCreationStatus.Created:
        this.#context.onAccepted?.(order)
        return success(undefined)
    }
  }

  /** Stores a rollout and assigns it to an owner. */
  async #create (order: RolloutOrder): Promise<RolloutCreationStatus> {
    const creation = await this.#context.store.create(order, deadlineAfter(ACCEPT_TIMEOUT_MS))
    if (creation === RolloutCreationStatus.Created || creation === RolloutCreationStatus.Known) {
      this.#orders.set(order.id, order)
      void this.#assignOwner(order, creation === RolloutCreationStatus.Created)
    }
    return creation
  }

  /**
   * Stores a rollout from this host or, if the store doesn't answer it, through
   * hosts in other failure domains. The rollout is refused only if no attempt can
   * have stored it.
   */
  async #createOnAnyHost (order: RolloutOrder): Promise<RolloutCreationStatus> {
    const ownCreation = await this.#create(order)
    if (ownCreation === RolloutCreationStatus.Created || ownCreation === RolloutCreationStatus.Known) return ownCreation
    const { self, members, bus } = this.#context
    const others = members.workers().filter((host) => host.failureDomain !== self.failureDomain)
    let mayBeStored = ownCreation === RolloutCreationStatus.Unknown
    for (const hostId of rankOwners(`accept/${order.id}`, others.map((host) => host.id)).slice(0, MAX_OTHER_ACCEPTORS)) {
      const host = others.find((other) => other.id === hostId)
      if (host === undefined) continue
      const answer = await bus.send(host, { kind: PeerMessageKind.AcceptRollout, order }, { deadline: deadlineAfter(ACCEPT_TIMEOUT_MS + OWNER_REPLY_MARGIN_MS) })
      const creation = answer.ok ? answer.value.creation : RolloutCreationStatus.Unknown
      if (creation === RolloutCreationStatus.Created || creation === RolloutCreationStatus.Known) return creation
      mayBeStored ||= creation === RolloutCreationStatus.Unknown
    }
    return mayBeStored ? RolloutCreationStatus.Unknown : RolloutCreationStatus.Refused
  }

  /** Reads results from a position on; waits for the first one until the deadline. */
  async readResults (id: string, workspace: string, after: number, deadline: number): Promise<RolloutPage> {
    for (const owner of this.#rankedOwners(workspace).slice(0, MAX_OWNERS)) {
      if (owner.id === this.#context.self.id) return await this.#readFromRun(id, workspace, after, deadline)
      const message = { kind: PeerMessageKind.ReadRollout, rolloutId: id, workspace, after, waitMs: timeLeft(deadline) } as const
      const answer = await this.#context.bus.send(owner, message, { deadline: deadline + OWNER_REPLY_MARGIN_MS })
      if (answer.ok && answer.value.status !== RolloutReadStatus.Unavailable) return answer.value
      this.#markUnresponsive(owner.id)
    }
    return await this.#readFromStore(id, workspace, after)
  }

  /** Ends a rollout; success means that the end is stored. */
  async endRollout (id: string, workspace: string): Promise<Outcome<void, Refusal>> {
    const deadline = deadlineAfter(END_TIMEOUT_MS)
    if (await this.#endAtOwner(id, workspace)) return success(undefined)
    const order = await this.#findOrder(id, deadline)
    if (!order.ok) return order
    if (order.value.workspace !== workspace) return failure(unknownRollout(id))
    const run = this.#runs.get(id) ?? new RolloutRun(this.#context, order.value, new RolloutProgress())
    const read = await this.#context.store.catchUp(id, run.progress, deadline)
    const ended = read.ok && await run.appendEnd(deadline)
    this.#logEnd(id, workspace, ended ? 'ended' : 'unknown')
    return ended
      ? success(undefined)
      : failure({ reason: RefusalReason.StoreUnavailable, ran: Ran.Maybe, detail: 'the store did not confirm the end', retryAfterMs: RETRY_AFTER_MS })
  }

  /** Asks the owner to end a rollout; returns whether the end is stored. */
  async #endAtOwner (id: string, workspace: string): Promise<boolean> {
    const [owner] = this.#rankedOwners(workspace)
    if (owner === undefined || owner.id === this.#context.self.id) return false
    const answer = await this.#context.bus.send(owner, { kind: PeerMessageKind.EndRollout, rolloutId: id, workspace }, { deadline: deadlineAfter(OWNER_REQUEST_TIMEOUT_MS) })
    if (!answer.ok) this.#markUnresponsive(owner.id)
    const ended = answer.ok && answer.value.accepted
    if (ended) this.#logEnd(id, workspace, 'ended by its owner')
    return ended
  }

  #logEnd (id: string, workspace: string, outcome: string): void {
    this.#context.log.record(LogEvent.RolloutEnded, { requestId: id, workspace, outcome })
  }

  /** Returns the body of a sample as the trainer sent it. */
  async readSampleBody (id: string, workspace: string, sampleId: string): Promise<Outcome<Uint8Array, Refusal>> {
    const order = await this.#findOrder(id, deadlineAfter(LOAD_TIMEOUT_MS))
    if (!order.ok) return order
    const sample = order.value.samples.find((candidate) => candidate.id === sampleId)
    if (order.value.workspace !== workspace || sample === undefined) return failure(unknownRollout(id))
    return success(Buffer.from(sample.body, 'base64'))
  }

  /**
   * Returns the live hosts of the region in order of preference as owner of a
   * workspace's rollouts; hosts that did not answer recently come last. One host
   * owns all rollouts of a workspace, so it knows the load that the workspace's
   * steps put on the endpoints.
   */
  #rankedOwners (workspace: string): Host[] {
    const workers = this.#context.members.workers()
    const inRegion = workers.filter((host) => host.region === this.#context.self.region)
    const hosts = inRegion.length > 0 ? inRegion : workers
    const byId = new Map(hosts.map((host) => [host.id, host]))
    const now = monotonicNow()
    const unresponsiveRank = (hostId: string): number => (this.#unresponsiveUntil.get(hostId) ?? 0) > now ? 1 : 0
    return rankOwners(`rollouts/${workspace}`, [...byId.keys()])
      .sort((a, b) => unresponsiveRank(a) - unresponsiveRank(b))
      .flatMap((hostId) => byId.get(hostId) ?? [])
  }

  #markUnresponsive (hostId: string): void {
    this.#unresponsiveUntil.set(hostId, deadlineAfter(UNRESPONSIVE_BACKOFF_MS))
  }

  /** Assigns a rollout to the first host in order of preference that accepts it. */
  async #assignOwner (order: RolloutOrder, isNew: boolean): Promise<void> {
    for (const owner of this.#rankedOwners(order.workspace)) {
      if (owner.id === this.#context.self.id && !this.#leaving) {
        if (isNew) this.#startRun(order, new RolloutProgress())
        else await this.#loadRun(order.id)
        return
      }
      const message = { kind: PeerMessageKind.RunRollout, rolloutId: order.id, ...(isNew ? { order } : {}) } as const
      const answer = await this.#context.bus.send(owner, message, { deadline: deadlineAfter(OWNER_REPLY_MARGIN_MS) })
      if (answer.ok && answer.value.accepted) return
      this.#markUnresponsive(owner.id)
    }
  }

  async #readFromRun (id: string, workspace: string, after: number, deadline: number): Promise<RolloutPage> {
    const loaded = await this.#loadRun(id)
    if (!loaded.ok) return emptyPage(RolloutReadStatus.Unavailable)
    const run = loaded.value
    if (run === undefined || run.order.workspace !== workspace) return emptyPage(RolloutReadStatus.Unknown)
    if (run.progress.results.length < after && !await run.refreshProgress(0)) return emptyPage(RolloutReadStatus.Unavailable)
    if (run.progress.results.length <= after && deadline > monotonicNow()) await run.waitForResult(after, deadline)
    // Another host may have taken over for a while and listed more results, so a stale copy can't show that there are none.
    if (run.progress.results.length <= after && !run.progress.ended && !await run.refreshProgress(MAX_EMPTY_PAGE_AGE_MS)) return emptyPage(RolloutReadStatus.Unavailable)
    return pageOf(run.order, run.progress, after)
  }

  /** Reads a rollout from the store without running it. */
  async #readFromStore (id: string, workspace: string, after: number): Promise<RolloutPage> {
    const deadline = deadlineAfter(LOAD_TIMEOUT_MS)
    const order = await this.#context.store.readOrder(id, deadline)
    if (!order.ok) return emptyPage(RolloutReadStatus.Unavailable)
    if (order.value === undefined || order.value.workspace !== workspace) return emptyPage(RolloutReadStatus.Unknown)
    const progress = new RolloutProgress()
    const read = await this.#context.store.catchUp(id, progress, deadline)
    return read.ok ? pageOf(order.value, progress, after) : emptyPage(RolloutReadStatus.Unavailable)
  }

  /** Returns the run of a rollout on this host, taking it over from the store if necessary. */
  async #loadRun (id: string): Promise<Outcome<RolloutRun | undefined, string>> {
    const known = this.#runs.get(id)
    if (known !== undefined) return success(known)
    const loading = this.#loading.get(id) ?? this.#takeOver(id).finally(() => this.#loading.delete(id))
    this.#loading.set(id, loading)
    return await loading
  }

  async #takeOver (id: string): Promise<Outcome<RolloutRun | undefined, string>> {
    const deadline = deadlineAfter(LOAD_TIMEOUT_MS)
    const known = this.#orders.get(id)
    const order = known === undefined ? await this.#context.store.readOrder(id, deadline) : success(known)
    if (!order.ok) return failure(order.failure)
    if (order.value === undefined) return success(undefined)
    const progress = new RolloutProgress()
    const read = await this.#context.store.catchUp(id, progress, deadline)
    if (!read.ok) return failure(read.failure)
    return success(this.#startRun(order.value, progress))
  }

  /** Starts a run of a rollout on this host, unless there is one. */
  #startRun (order: RolloutOrder, progress: RolloutProgress, handover?: AdoptRollout): RolloutRun {
    const known = this.#runs.get(order.id)
    if (known !== undefined) return known
    const run = new RolloutRun(this.#context, order, progress)
    this.#runs.set(order.id, run)
    this.#keptUntil.set(order.id, deadlineAfter(MIN_OWNERSHIP_MS))
    this.#context.log.record(LogEvent.RolloutOwned, {
      requestId: order.id, listed: progress.results.length, segments: progress.segments, ended: progress.ended, ageMs: Date.now() - order.acceptedAt
    })
    if (handover !== undefined) run.adopt(handover)
    if (!this.#leaving) run.start()
    return run
  }

  async #findOrder (id: string, deadline: number): Promise<Outcome<RolloutOrder, Refusal>> {
    const known = this.#runs.get(id)?.order ?? this.#orders.get(id)
    if (known !== undefined) return success(known)
    const order = await this.#context.store.readOrder(id, deadline)
    if (!order.ok) return failure({ reason: RefusalReason.StoreUnavailable, ran: Ran.No, detail: 'the store can\'t be read', retryAfterMs: RETRY_AFTER_MS })
    if (order.value === undefined) return failure(unknownRollout(id))
    this.#orders.set(id, order.value)
    return success(order.value)
  }
}

function unknownRollout (id: string): Refusal {
  return notRun(RefusalReason.UnknownBatch, `rollout ${JSON.stringify(id)} does not exist`)
}

function emptyPage (status: RolloutReadStatus): RolloutPage {
  return { status, total: 0, results: [], ended: false }
}

function pageOf (order: RolloutOrder, progress: RolloutProgress, after: number): RolloutPage {
  let characters = 0
  const results = []
  for (const result of progress.results.slice(after)) {
    characters += result.output.length
    if (results.length > 0 && characters > MAX_PAGE_CHARACTERS) break
    results.push({ ...result, versions: [...result.versions] })
  }
  return { status: RolloutReadStatus.Found, total: order.samples.length, results, ended: progress.ended }
}
