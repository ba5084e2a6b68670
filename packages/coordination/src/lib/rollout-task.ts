import { decideOwnership, describeOwnershipStep, failure, hostOfWriter, isSilenceConclusive, notRun, ownerOf, OwnershipStep, Ran, rankOwners, RefusalReason, RolloutProgress, success } from '@cyclamenthread/state'
import { PeerMessageKind, RolloutCreationStatus, RolloutReadStatus } from '@cyclamenthread/protocol'
import { deadlineAfter, monotonicNow, timeLeft } from '@cyclamenthread/transport'
import { LogEvent } from './event-log.js'
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

/** Timeout for the owner of a rollout to show that it can read the rollout's log, before another host claims the rollout, in milliseconds. */
const OWNER_PROBE_TIMEOUT_MS = 600

/** Minimum time for a host to take a rollout over and answer a read, in milliseconds; trainers wait somewhat longer than they ask for. */
const TAKEOVER_TIMEOUT_MS = 900

/** Maximum output in one page of results, in characters. */
const MAX_PAGE_CHARACTERS = 900_000

/** A read of a rollout's results. */
interface RolloutRead {
  readonly id: string
  readonly workspace: string
  readonly after: number
  /** Monotonic milliseconds until which the read may wait for a result. */
  readonly deadline: number
  /** Whether another host has passed it on. */
  readonly forwarded: boolean
}

/** A rollout as a host knows it after reading its log. */
interface OpenedRollout {
  readonly order: RolloutOrder
  readonly progress: RolloutProgress
  /** The run on this host; undefined if another host owns the rollout. */
  readonly run: RolloutRun | undefined
  readonly owner: string
}

/** Dependencies of a {@link RolloutTask}. */
export interface RolloutTaskContext extends RolloutContext {
  readonly self: Host
  readonly members: MemberView
  readonly bus: MessageBus
  /** Called with each accepted rollout. */
  readonly onAccepted?: (order: RolloutOrder) => void
}

/**
 * Accepts rollouts, runs those that this host owns, and forwards reads to their
 * owners. On acceptance a rollout is assigned to a host chosen by rendezvous hashing
 * over the live hosts of the region. Another host becomes its owner only by a claim
 * in the rollout's log, after it couldn't reach the owner itself.
 *
 * Invariants: a rollout is accepted only once the store has it; a host runs only
 * rollouts that it owns according to the log; only results in the store are listed;
 * "no such rollout" is answered only after a read of the store.
 */
export class RolloutTask {
  readonly #context: RolloutTaskContext
  readonly #runs = new Map<string, RolloutRun>()
  readonly #opening = new Map<string, Promise<Outcome<OpenedRollout | undefined, string>>>()
  readonly #orders = new Map<string, RolloutOrder>()
  readonly #unresponsiveUntil = new Map<string, number>()
  /** Hosts that were last named as owners by other hosts, by rollout id. */
  readonly #ownerHints = new Map<string, string>()
  #leaving = false

  constructor (context: RolloutTaskContext) {
    this.#context = context
  }

  /** Creates the broker service that answers other hosts. */
  service (): ServiceSchema {
    return taskService('rollouts', {
      [PeerMessageKind.AcceptRollout]: async ({ order }) => ({ creation: await this.#create(order) }),
      [PeerMessageKind.RunRollout]: async ({ rolloutId, order }) => {
        if (this.#leaving) return { accepted: false }
        if (order?.owner === this.#context.self.id) this.#startRun(this.#createRun(order, new RolloutProgress()))
        else void this.#openRollout(rolloutId)
        return { accepted: true }
      },
      [PeerMessageKind.AdoptRollout]: async (handover) => ({ accepted: await this.#adoptRollout(handover) }),
      [PeerMessageKind.ReadRollout]: async ({ rolloutId, workspace, after, waitMs, forwarded }) =>
        await this.#readHere({ id: rolloutId, workspace, after, deadline: deadlineAfter(waitMs), forwarded }),
      [PeerMessageKind.RecheckRollout]: async ({ rolloutId }) => {
        const opened = this.#leaving ? undefined : await this.#openRollout(rolloutId)
        return { accepted: opened?.ok === true && await opened.value?.run?.recheck() === true }
      },
      [PeerMessageKind.EndRollout]: async ({ rolloutId, workspace }) => {
        const run = this.#activeRun(rolloutId)
        const ended = run?.order.workspace === workspace && await run.appendEnd(deadlineAfter(END_TIMEOUT_MS))
        if (ended) await this.#notifyChange(run)
        return { accepted: ended }
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

  /** Continues a rollout that another host hands over, if that host or this one owns it. */
  async #adoptRollout (handover: AdoptRollout): Promise<boolean> {
    if (this.#leaving) return false
    const { order, from } = handover
    const known = this.#activeRun(order.id)
    if (known !== undefined) {
      // A host that can't reach the store couldn't list any results.
      if (!await known.refreshProgress(0)) return false
      known.adopt(handover)
      return true
    }
    const progress = new RolloutProgress()
    const deadline = deadlineAfter(LOAD_TIMEOUT_MS)
    const read = await this.#context.store.catchUp(order.id, progress, deadline)
    if (!read.ok) return false
    const owner = ownerOf(order, progress)
    if (owner !== '' && hostOfWriter(owner) !== hostOfWriter(from)) return false
    return await this.#claimRun(order, progress, deadline, handover) !== undefined
  }

  /** Stops all runs. */
  stop (): void {
    this.#leaving = true
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
    const assigned = { ...order, owner: this.#rankedOwners(order.workspace)[0]?.id ?? this.#context.self.id }
    const creation = await this.#context.store.create(assigned, deadlineAfter(ACCEPT_TIMEOUT_MS))
    const isCreated = creation === RolloutCreationStatus.Created
    if (isCreated) this.#orders.set(order.id, assigned)
    if (isCreated || creation === RolloutCreationStatus.Known) void this.#notifyOwner(assigned, isCreated)
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
    const read = { id, workspace, after, deadline, forwarded: false }
    for (const owner of this.#likelyOwners(id, workspace).slice(0, MAX_OWNERS)) {
      if (owner.id === this.#context.self.id) return await this.#readHere(read)
      const page = await this.#readAt(owner, read)
      if (page !== undefined) return page
    }
    return await this.#readFromStore(id, workspace, after)
  }

  /** Reads a rollout at another host; undefined if that host can't answer. */
  async #readAt (host: Host, { id, workspace, after, deadline, forwarded }: RolloutRead): Promise<RolloutPage | undefined> {
    const message = { kind: PeerMessageKind.ReadRollout, rolloutId: id, workspace, after, waitMs: timeLeft(deadline), forwarded } as const
    const replyDeadline = Math.max(deadline + OWNER_REPLY_MARGIN_MS, deadlineAfter(TAKEOVER_TIMEOUT_MS))
    const answer = await this.#context.bus.send(host, message, { deadline: replyDeadline })
    if (answer.ok && answer.value.owner !== '') this.#ownerHints.set(id, answer.value.owner)
    if (answer.ok && answer.value.status !== RolloutReadStatus.Unavailable) return answer.value
    if (answer.ok || isSilenceConclusive(replyDeadline, monotonicNow())) this.#markUnresponsive(host.id)
    this.#ownerHints.delete(id)
    return undefined
  }

  /** Returns the hosts to ask about a rollout: the one last named as its owner, then those in order of preference. */
  #likelyOwners (id: string, workspace: string): Host[] {
    const ranked = this.#rankedOwners(workspace)
    const hint = this.#context.members.workers().find((host) => host.id === this.#ownerHints.get(id))
    return hint === undefined ? ranked : [hint, ...ranked.filter((host) => host.id !== hint.id)]
  }

  /** Ends a rollout; success means that the end is stored. */
  async endRollout (id: string, workspace: string): Promise<Outcome<void, Refusal>> {
    const deadline = deadlineAfter(END_TIMEOUT_MS)
    if (await this.#endAtOwner(id, workspace)) return success(undefined)
    const order = await this.#findOrder(id, deadline)
    if (!order.ok) return order
    if (order.value.workspace !== workspace) return failure(unknownRollout(id))
    const run = this.#activeRun(id) ?? new RolloutRun(this.#context, order.value, new RolloutProgress())
    const read = await this.#context.store.catchUp(id, run.progress, deadline)
    const ended = read.ok && await run.appendEnd(deadline)
    if (ended) await this.#notifyChange(run)
    this.#logEnd(id, workspace, ended ? 'ended' : 'unknown')
    return ended
      ? success(undefined)
      : failure({ reason: RefusalReason.StoreUnavailable, ran: Ran.Maybe, detail: 'the store did not confirm the end', retryAfterMs: RETRY_AFTER_MS })
  }

  /** Asks the owner to end a rollout; returns whether the end is stored. */
  async #endAtOwner (id: string, workspace: string): Promise<boolean> {
    const [owner] = this.#likelyOwners(id, workspace)
    if (owner === undefined || owner.id === this.#context.self.id) return false
    const answer = await this.#context.bus.send(owner, { kind: PeerMessageKind.EndRollout, rolloutId: id, workspace }, { deadline: deadlineAfter(OWNER_REQUEST_TIMEOUT_MS) })
    if (!answer.ok) this.#markUnresponsive(owner.id)
    const ended = answer.ok && answer.value.accepted
    if (ended) this.#logEnd(id, workspace, 'ended by its owner')
    return ended
  }

  /** Makes the owner of a rollout read the log, so that it learns at once of an end or a claim that it didn't write. */
  async #notifyChange ({ order, progress }: RolloutRun, owner = ownerOf(order, progress)): Promise<void> {
    const host = this.#context.members.workers().find(({ id }) => id === hostOfWriter(owner))
    if (host === undefined || host.id === this.#context.self.id) return
    await this.#context.bus.send(host, { kind: PeerMessageKind.RecheckRollout, rolloutId: order.id }, { deadline: deadlineAfter(OWNER_PROBE_TIMEOUT_MS) })
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

  /**
   * Tells the assigned owner of a rollout to run it. If it doesn't answer, the next
   * hosts in order of preference are asked, which decide by the log.
   */
  async #notifyOwner (order: RolloutOrder, isNew: boolean): Promise<void> {
    const ranked = this.#rankedOwners(order.workspace)
    const hosts = [...ranked.filter((host) => host.id === order.owner), ...ranked.filter((host) => host.id !== order.owner)]
    for (const host of hosts) {
      const isAssigned = isNew && host.id === order.owner
      if (host.id === this.#context.self.id && !this.#leaving) {
        if (isAssigned) this.#startRun(this.#createRun(order, new RolloutProgress()))
        else await this.#openRollout(order.id)
        return
      }
      const message = { kind: PeerMessageKind.RunRollout, rolloutId: order.id, ...(isAssigned ? { order } : {}) } as const
      const answer = await this.#context.bus.send(host, message, { deadline: deadlineAfter(OWNER_REPLY_MARGIN_MS) })
      if (answer.ok && answer.value.accepted) return
      this.#markUnresponsive(host.id)
    }
  }

  /** Reads a rollout on this host: from its run, from its owner, or from the store. */
  async #readHere (read: RolloutRead): Promise<RolloutPage> {
    const opened = await this.#openRollout(read.id)
    if (!opened.ok) return emptyPage(RolloutReadStatus.Unavailable)
    if (opened.value === undefined || opened.value.order.workspace !== read.workspace) return emptyPage(RolloutReadStatus.Unknown)
    const { order, progress, run, owner } = opened.value
    if (run !== undefined) return await this.#readFromRun(run, read.after, read.deadline)
    const host = this.#context.members.workers().find(({ id }) => id === hostOfWriter(owner))
    const page = read.forwarded || host === undefined ? undefined : await this.#readAt(host, { ...read, forwarded: true })
    return page ?? { ...pageOf(order, progress, read.after), owner: hostOfWriter(owner) }
  }

  async #readFromRun (run: RolloutRun, after: number, deadline: number): Promise<RolloutPage> {
    if (run.progress.results.length < after && !await run.refreshProgress(0)) return emptyPage(RolloutReadStatus.Unavailable)
    if (run.progress.results.length <= after && deadline > monotonicNow()) await run.waitForResult(after, deadline)
    // Another host may have taken over for a while and listed more results, so a stale copy can't show that there are none.
    if (run.progress.results.length <= after && !run.progress.ended && !await run.refreshProgress(MAX_EMPTY_PAGE_AGE_MS)) return emptyPage(RolloutReadStatus.Unavailable)
    return { ...pageOf(run.order, run.progress, after), owner: hostOfWriter(ownerOf(run.order, run.progress)) }
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

  /** Returns the run of a rollout on this host, unless another host has claimed the rollout. */
  #activeRun (id: string): RolloutRun | undefined {
    return this.#runs.get(id)
  }

  /** Opens a rollout on this host: its run if this host owns it or can claim it, otherwise its current state and owner. */
  async #openRollout (id: string): Promise<Outcome<OpenedRollout | undefined, string>> {
    const run = this.#activeRun(id)
    if (run !== undefined) return success({ order: run.order, progress: run.progress, run, owner: ownerOf(run.order, run.progress) })
    const opening = this.#opening.get(id) ?? this.#openFromStore(id).finally(() => this.#opening.delete(id))
    this.#opening.set(id, opening)
    return await opening
  }

  async #openFromStore (id: string): Promise<Outcome<OpenedRollout | undefined, string>> {
    const deadline = deadlineAfter(LOAD_TIMEOUT_MS)
    const known = this.#orders.get(id)
    const order = known === undefined ? await this.#context.store.readOrder(id, deadline) : success(known)
    if (!order.ok) return failure(order.failure)
    if (order.value === undefined) return success(undefined)
    this.#orders.set(id, order.value)
    const progress = new RolloutProgress()
    const readAt = monotonicNow()
    const read = await this.#context.store.catchUp(id, progress, deadline)
    if (!read.ok) return failure(read.failure)
    const run = await this.#runIfOwned(order.value, progress, readAt, deadline)
    return success({ order: order.value, progress, run, owner: ownerOf(order.value, progress) })
  }

  /** Runs a rollout whose log was just read, if this host owns it or can claim it. */
  async #runIfOwned (order: RolloutOrder, progress: RolloutProgress, readAt: number, deadline: number): Promise<RolloutRun | undefined> {
    if (progress.ended || progress.results.length === order.samples.length) return this.#startRun(this.#createRun(order, progress, readAt))
    const owner = ownerOf(order, progress)
    const evidence = { owner, writer: this.#context.writer, ownerUnreachable: false }
    const step = decideOwnership(evidence)
    const isLost = step === OwnershipStep.Refer && !await this.#canOwnerRun(order.id, hostOfWriter(owner))
    const decision = isLost ? decideOwnership({ ...evidence, ownerUnreachable: true }) : step
    if (decision !== OwnershipStep.Run) this.#context.log.record(LogEvent.RolloutOwnership, { requestId: order.id, detail: describeOwnershipStep(decision, owner), ownerUnreachable: isLost })
    switch (decision) {
      case OwnershipStep.Run: return this.#startRun(this.#createRun(order, progress, readAt))
      case OwnershipStep.Claim: return this.#leaving ? undefined : await this.#claimRun(order, progress, deadline)
      case OwnershipStep.Refer: return undefined
    }
  }

  /** Whether the owner of a rollout answers this host and can read the rollout's log. */
  async #canOwnerRun (id: string, hostId: string): Promise<boolean> {
    const host = this.#context.members.workers().find((worker) => worker.id === hostId)
    if (host === undefined || (this.#unresponsiveUntil.get(hostId) ?? 0) > monotonicNow()) return false
    const deadline = deadlineAfter(OWNER_PROBE_TIMEOUT_MS)
    const answer = await this.#context.bus.send(host, { kind: PeerMessageKind.RecheckRollout, rolloutId: id }, { deadline })
    const canRun = answer.ok ? answer.value.accepted : !isSilenceConclusive(deadline, monotonicNow())
    if (!canRun) this.#markUnresponsive(hostId)
    return canRun
  }

  /** Claims a rollout in its log and runs it; undefined if another claim came first or the store didn't answer. */
  async #claimRun (order: RolloutOrder, progress: RolloutProgress, deadline: number, handover?: AdoptRollout): Promise<RolloutRun | undefined> {
    const before = ownerOf(order, progress)
    const run = this.#createRun(order, progress)
    if (!await run.claim(deadline)) {
      run.stop()
      return undefined
    }
    void this.#notifyChange(run, before)
    return this.#startRun(run, handover)
  }

  #createRun (order: RolloutOrder, progress: RolloutProgress, confirmedAt = -Infinity): RolloutRun {
    const onFenced = (handover: AdoptRollout): void => {
      void this.#yieldRun(handover, ownerOf(order, progress))
    }
    return new RolloutRun(this.#context, order, progress, { confirmedAt, onFenced })
  }

  /** Drops a run whose rollout another host has claimed, and sends that host what it can continue from. */
  async #yieldRun (handover: AdoptRollout, owner: string): Promise<void> {
    this.#runs.delete(handover.order.id)
    const host = this.#context.members.workers().find(({ id }) => id === hostOfWriter(owner))
    if (host !== undefined && host.id !== this.#context.self.id) await this.#sendHandover(handover, host, Infinity)
  }

  /** Starts a run on this host, unless there is one of the same rollout. */
  #startRun (run: RolloutRun, handover?: AdoptRollout): RolloutRun {
    const { order, progress } = run
    const known = this.#runs.get(order.id)
    if (known !== undefined) {
      run.stop()
      return known
    }
    this.#runs.set(order.id, run)
    this.#context.log.record(LogEvent.RolloutOwned, {
      requestId: order.id, listed: progress.results.length, segments: progress.segments, ended: progress.ended, claimant: progress.claimant, ageMs: Date.now() - order.acceptedAt
    })
    if (handover !== undefined) run.adopt(handover)
    if (!this.#leaving) run.start()
    return run
  }

  async #findOrder (id: string, deadline: number): Promise<Outcome<RolloutOrder, Refusal>> {
    const known = this.#activeRun(id)?.order ?? this.#orders.get(id)
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
