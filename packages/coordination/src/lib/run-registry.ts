import { decideOwnership, describeHomes, describeOwnershipStep, homesOfRollout, hostOfWriter, isHome, ownerOf, OwnershipStep, RolloutProgress, success, trainerOf } from '@cyclamenthread/state'
import { PeerMessageKind } from '@cyclamenthread/protocol'
import { deadlineAfter, monotonicNow, suspendAwareNow } from '@cyclamenthread/transport'
import { LogEvent } from './event-log.js'
import { isComplete, RolloutLoader } from './rollout-loader.js'
import { RolloutRun } from './rollout-run.js'
import { shared, untilDeadline } from './shared-work.js'
import type { HomeRegions, Host, Outcome, RolloutOrder } from '@cyclamenthread/state'
import type { AdoptRollout, StoreFailure } from '@cyclamenthread/protocol'
import type { MessageBus } from './message-bus.js'
import type { OwnerDirectory } from './owner-directory.js'
import type { LoadedRollout, Sufficiency } from './rollout-loader.js'
import type { RolloutContext } from './rollout-context.js'
import type { WatchedRequests } from './watched-request.js'

/** Timeout for reading a rollout from the store, in milliseconds. */
const LOAD_TIMEOUT_MS = 2_500

/** Timeout for a request to another host to adopt a rollout, in milliseconds. */
const ADOPTION_TIMEOUT_MS = 1_200

/** Timeout for another host to say whether it would adopt rollouts, in milliseconds: a round trip between regions and a delay at a busy host. */
const OFFER_TIMEOUT_MS = 450

/** Number of hosts that are asked at once whether they would adopt rollouts. */
const MAX_OFFERS = 3

/** Timeout for the owner of a rollout to show that it can read the rollout's log, before another host claims the rollout, in milliseconds. */
const OWNER_PROBE_TIMEOUT_MS = 600

/** Time between two attempts to have a rollout run in one of its homes, in milliseconds. */
const RELOCATION_PERIOD_MS = 1_000

/** Number of finished runs that stay ready for ends and last reads; what earlier ones have read is kept as long as there is room. */
const MAX_FINISHED_RUNS = 4

/** A rollout as a host knows it after reading its log. */
export interface OpenedRollout {
  readonly order: RolloutOrder
  readonly progress: RolloutProgress
  /** The run on this host; undefined if another host owns the rollout. */
  readonly run: RolloutRun | undefined
  /** Host that owns the rollout; empty if none does, or if only a part of the log was read. */
  readonly owner: string
  /** Time before the read that found the end of the log, in milliseconds by the clock that counts suspends; -Infinity if only a part was read. */
  readonly readAt: number
}

/** Dependencies of a {@link RunRegistry}. */
export interface RunRegistryContext extends RolloutContext {
  readonly self: Host
  readonly bus: MessageBus
}

/** Helpers of a {@link RunRegistry}. */
export interface RunRegistryHelpers {
  readonly directory: OwnerDirectory
  readonly requests: WatchedRequests
  readonly isEndPending: EndInquiry
}

/** Whether the trainer of a rollout has asked for an end that isn't known to be stored. */
export type EndInquiry = (order: RolloutOrder) => boolean

/**
 * The rollouts that this host runs, and how it comes to own them.
 *
 * Invariants: a host runs only rollouts that it owns according to the log; it claims
 * one only from a process that has ended or that it couldn't reach itself, and only in
 * one of the rollout's homes; "no such rollout" is the result of a read of the store.
 */
export class RunRegistry {
  readonly #context: RunRegistryContext
  readonly #directory: OwnerDirectory
  readonly #requests: WatchedRequests
  readonly #isEndPending: EndInquiry
  readonly #runs = new Map<string, RolloutRun>()
  readonly #loader: RolloutLoader
  readonly #starting = new Map<string, Promise<RolloutRun | undefined>>()
  readonly #takingOver = new Map<string, Promise<RolloutRun | undefined>>()
  /** Monotonic milliseconds before which no other host is asked to run a rollout in one of its homes. */
  readonly #nextRelocationAt = new Map<string, number>()
  #leaving = false
  #isRelinquishing = false

  constructor (context: RunRegistryContext, { directory, requests, isEndPending }: RunRegistryHelpers) {
    this.#context = context
    this.#directory = directory
    this.#requests = requests
    this.#isEndPending = isEndPending
    this.#loader = new RolloutLoader(context.store, (order) => this.isWithinHomes(order))
    context.relay.onCutOff(() => {
      void this.#relinquishRuns()
    })
  }

  /** Whether this host accepts no more runs. */
  get isLeaving (): boolean {
    return this.#leaving
  }

  /** Homes of a rollout, as far as this host knows. */
  homesOf (order: RolloutOrder): HomeRegions {
    return homesOfRollout(order, this.#context.deployment.routeTable)
  }

  /** Whether this host is in one of the homes of a rollout, so that it may own it and keep copies of it. */
  isWithinHomes (order: RolloutOrder): boolean {
    return isHome(this.homesOf(order), this.#context.self.region)
  }

  /** Whether other hosts may hand rollouts to this one: it stays and reaches endpoints. */
  get acceptsRuns (): boolean {
    return !this.#leaving && !this.#context.relay.isCutOff
  }

  /** Number of rollouts that run on this host. */
  get running (): number {
    return [...this.#runs.values()].filter((run) => !run.isFinished).length
  }

  /** Number of unfinished samples of other trainers that this host runs. */
  foreignSamples (trainer: string): number {
    return [...this.#runs.values()].reduce((sum, run) => trainerOf(run.order) === trainer ? sum : sum + run.openSamples, 0)
  }

  /** Returns the run of a rollout on this host, unless another host has claimed the rollout. */
  find (id: string): RolloutRun | undefined {
    return this.#runs.get(id)
  }

  /** Whether this host can answer reads of a rollout by itself: it runs it, or has read all of its log. */
  holds (id: string): boolean {
    return this.#runs.has(id) || this.#loader.holdsWhole(id)
  }

  /** Returns the order of a rollout if this host knows it. */
  knownOrder (id: string): RolloutOrder | undefined {
    return this.#runs.get(id)?.order ?? this.#loader.findOrder(id)
  }

  /** Stores the order of a rollout that is in the store. */
  rememberOrder (order: RolloutOrder): void {
    this.#loader.keep(order)
  }

  /** Runs a rollout that was just accepted and assigned to this host. */
  startAssigned (order: RolloutOrder): void {
    this.#startRun(this.#createRun(order, new RolloutProgress()))
  }

  /**
   * Opens a rollout on this host: its run if this host owns it, otherwise its current
   * state and owner; undefined if it doesn't exist. If the log can't be read
   * whole in time, that may be a part of it that is enough.
   */
  async open (id: string, deadline: number, isEnough?: Sufficiency): Promise<Outcome<OpenedRollout | undefined, StoreFailure>> {
    const known = this.#runs.get(id)
    if (known !== undefined) return success(openedRun(known))
    const loaded = await this.#loader.load(id, deadline, isEnough)
    if (!loaded.ok || loaded.value === undefined) return loaded.ok ? success(undefined) : loaded
    const current = loaded.value
    const { order, progress, readAt } = current
    if (readAt === -Infinity) return success({ order, progress, run: undefined, owner: '', readAt })
    const starting = shared(this.#starting, id, async () => await this.#runIfOwned(current))
    const run = await untilDeadline(starting, deadline)
    const owner = ownerHostOf(order, progress)
    this.#directory.recordOwner(id, owner)
    return success({ order, progress, run, owner, readAt })
  }

  /** Returns the order of a rollout; undefined if it doesn't exist. */
  async loadOrder (id: string, deadline: number): Promise<Outcome<RolloutOrder | undefined, StoreFailure>> {
    const known = this.knownOrder(id)
    return known === undefined ? await this.#loader.loadOrder(id, deadline) : success(known)
  }

  /** Reads the log of a rollout without running it; undefined if it doesn't exist. */
  async load (id: string, deadline: number, isEnough?: Sufficiency): Promise<Outcome<LoadedRollout | undefined, StoreFailure>> {
    return await this.#loader.load(id, deadline, isEnough)
  }

  /** Claims a rollout that another host owns if that host doesn't answer this one or can't read the log; returns the run if it did. */
  async takeOverIfLost (opened: OpenedRollout): Promise<RolloutRun | undefined> {
    return await shared(this.#takingOver, opened.order.id, async () => await this.#takeOverIfLost(opened))
  }

  async #takeOverIfLost ({ order, progress, owner }: OpenedRollout): Promise<RolloutRun | undefined> {
    if (!this.isWithinHomes(order)) {
      void this.#askHomes(order)
      return undefined
    }
    if (this.#leaving || await this.#canOwnerRun(order.id, owner)) return undefined
    // The progress may show a claim that came meanwhile; its owner wasn't probed.
    if (ownerHostOf(order, progress) !== owner) return undefined
    const step = decideOwnership({ owner, writer: this.#context.writer, ownerUnreachable: true })
    this.#logStep(order.id, step, owner)
    return step === OwnershipStep.Claim ? await this.#claimRun(order, progress, deadlineAfter(LOAD_TIMEOUT_MS)) : undefined
  }

  /** Runs a rollout if this host owns it or its owner is lost. */
  async runIfOwnedOrLost (id: string): Promise<void> {
    const opened = await this.open(id, deadlineAfter(LOAD_TIMEOUT_MS))
    if (opened.ok && opened.value !== undefined && opened.value.run === undefined) await this.takeOverIfLost(opened.value)
  }

  /** Continues a rollout that another host hands over, if that host or this one owns it. */
  async adopt (handover: AdoptRollout): Promise<boolean> {
    if (!this.acceptsRuns) return false
    const { order, from } = handover
    if (!this.isWithinHomes(order)) return false
    const known = this.#runs.get(order.id)
    if (known !== undefined) {
      // A host that can't reach the store couldn't list any results.
      if (!await known.refreshProgress(0)) return false
      known.adopt(handover)
      return true
    }
    this.#loader.keep(order)
    const deadline = deadlineAfter(LOAD_TIMEOUT_MS)
    const loaded = await this.#loader.load(order.id, deadline)
    if (!loaded.ok || loaded.value === undefined) return false
    const { progress } = loaded.value
    const owner = ownerHostOf(order, progress)
    if (owner !== '' && owner !== hostOfWriter(from)) return false
    return await this.#claimRun(order, progress, deadline, handover) !== undefined
  }

  /**
   * Accepts no more runs and hands the current ones over to their next owners.
   * Settled results are listed first, so a rollout that no host adopts can be
   * continued from the store. Those that a slow store hasn't listed in time are handed over,
   * unless there is no other host.
   */
  async leave (deadline: number): Promise<void> {
    this.#leaving = true
    await Promise.all([...this.#runs.values()].filter((run) => !run.isFinished).map(async (run) => {
      const hasSuccessor = this.#successorsOf(run).length > 0
      // Leaves another host its time to adopt the rollout.
      await run.flushResults(hasSuccessor ? deadline - ADOPTION_TIMEOUT_MS : deadline)
      if (!run.isFinished) await this.#handOver(run, deadline)
    }))
  }

  /** Stops all runs. */
  stop (): void {
    this.#leaving = true
    this.#loader.stop()
    for (const run of this.#runs.values()) run.stop()
  }

  /** Makes the owner of a rollout read the log, so that it learns at once of an end or a claim that it didn't write. */
  async notifyChange (order: RolloutOrder, owner: string): Promise<void> {
    const host = this.#directory.findWorker(owner)
    if (host === undefined || host.id === this.#context.self.id) return
    const rechecking = this.#context.bus.send(host, { kind: PeerMessageKind.RecheckRollout, rolloutId: order.id }, { deadline: deadlineAfter(OWNER_PROBE_TIMEOUT_MS) })
    // A silent owner finds the message once it goes on.
    if (!this.#directory.isSilent(host.id)) await rechecking
  }

  /** Runs a rollout whose log was just read, if this host owns it or an earlier process of this host did. */
  async #runIfOwned ({ order, progress, readAt }: LoadedRollout): Promise<RolloutRun | undefined> {
    if (isComplete(order, progress)) return undefined
    const owner = ownerOf(order, progress)
    const step = decideOwnership({ owner, writer: this.#context.writer, ownerUnreachable: false })
    if (step !== OwnershipStep.Refer && !this.isWithinHomes(order)) {
      void this.#askHomes(order)
      return undefined
    }
    this.#logStep(order.id, step, owner)
    switch (step) {
      case OwnershipStep.Run: return this.#startRun(this.#createRun(order, progress, readAt))
      case OwnershipStep.Claim: return this.#leaving ? undefined : await this.#claimRun(order, progress, deadlineAfter(LOAD_TIMEOUT_MS))
      case OwnershipStep.Refer: return undefined
    }
  }

  #logStep (id: string, step: OwnershipStep, owner: string): void {
    if (step !== OwnershipStep.Run) this.#context.log.record(LogEvent.RolloutOwnership, { requestId: id, detail: describeOwnershipStep(step, owner) })
  }

  /** Whether the owner of a rollout answers this host and can read the rollout's log. */
  async #canOwnerRun (id: string, hostId: string): Promise<boolean> {
    const host = this.#directory.findWorker(hostId)
    if (host === undefined || this.#directory.isUnresponsive(hostId)) return false
    const deadline = deadlineAfter(OWNER_PROBE_TIMEOUT_MS)
    const answer = await this.#context.bus.send(host, { kind: PeerMessageKind.RecheckRollout, rolloutId: id }, { deadline })
    if (!answer.ok) return !this.#directory.recordSilence(hostId, deadline)
    if (!answer.value.accepted) this.#directory.markUnresponsive(hostId)
    return answer.value.accepted
  }

  /** Claims a rollout in its log and runs it; undefined if another claim came first or the store didn't answer. */
  async #claimRun (order: RolloutOrder, progress: RolloutProgress, deadline: number, handover?: AdoptRollout): Promise<RolloutRun | undefined> {
    const before = ownerHostOf(order, progress)
    const run = this.#createRun(order, progress)
    if (!await run.claim(deadline)) {
      run.stop()
      return undefined
    }
    void this.notifyChange(order, before)
    return this.#startRun(run, handover)
  }

  /** Asks a host in one of the homes of a rollout to run it. */
  async #askHomes (order: RolloutOrder): Promise<void> {
    if (!this.#isRelocationDue(order.id)) return
    const homes = this.homesOf(order)
    const hosts = this.#directory.rank(trainerOf(order), homes).slice(0, MAX_OFFERS)
    for (const host of hosts) {
      const answer = await this.#context.bus.send(host, { kind: PeerMessageKind.RunRollout, rolloutId: order.id }, { deadline: deadlineAfter(OFFER_TIMEOUT_MS) })
      if (!answer.ok || !answer.value.accepted) continue
      this.#context.log.record(LogEvent.RolloutOwnership, { requestId: order.id, detail: `host ${host.id} is asked to run it in its homes (${describeHomes(homes)})` })
      return
    }
    this.#context.log.record(LogEvent.RolloutOwnership, { requestId: order.id, detail: `no host in its homes (${describeHomes(homes)}) answers; it waits in the store` })
  }

  #isRelocationDue (id: string): boolean {
    const now = monotonicNow()
    for (const [other, nextAt] of this.#nextRelocationAt) {
      if (now >= nextAt) this.#nextRelocationAt.delete(other)
    }
    if (this.#nextRelocationAt.has(id)) return false
    this.#nextRelocationAt.set(id, now + RELOCATION_PERIOD_MS)
    return true
  }

  /** Hands a run over that a change of the declaration has left outside the homes of its rollout. */
  #relocate (run: RolloutRun): void {
    if (!this.#leaving && this.#isRelocationDue(run.order.id)) void this.#relinquish(run, () => !this.isWithinHomes(run.order))
  }

  #createRun (order: RolloutOrder, progress: RolloutProgress, confirmedAt = -Infinity): RolloutRun {
    const onMisplaced = (run: RolloutRun): void => this.#relocate(run)
    const onFenced = (handover: AdoptRollout): void => {
      void this.#yieldRun(handover, ownerHostOf(order, progress))
    }
    return new RolloutRun(this.#context, order, progress, { confirmedAt, onFenced, onMisplaced, carriedGroups: this.#carriedGroups(order) })
  }

  /** Groups of a rollout that were in an earlier rollout of its trainer, as far as it ran here. */
  #carriedGroups (order: RolloutOrder): ReadonlySet<string> {
    const trainer = trainerOf(order)
    const earlier = new Set<string>()
    for (const { order: other } of this.#runs.values()) {
      if (other.id !== order.id && other.step < order.step && trainerOf(other) === trainer) for (const { group } of other.samples) earlier.add(group)
    }
    return new Set(order.samples.flatMap(({ group }) => earlier.has(group) ? [group] : []))
  }

  /** Starts a run on this host, unless there is one of the same rollout. */
  #startRun (run: RolloutRun, handover?: AdoptRollout): RolloutRun {
    const { order, progress } = run
    const known = this.#runs.get(order.id)
    if (known !== undefined) {
      run.stop()
      if (handover !== undefined) known.adopt(handover)
      return known
    }
    this.#runs.set(order.id, run)
    this.#loader.forget(order.id)
    this.#dropFinishedRuns()
    if (this.#isEndPending(order)) run.holdWork()
    this.#context.log.record(LogEvent.RolloutOwned, {
      requestId: order.id, listed: progress.results.length, segments: progress.segments, ended: progress.ended, claimant: progress.claimant, ageMs: Date.now() - order.acceptedAt
    })
    if (handover !== undefined) run.adopt(handover)
    if (!this.#leaving) run.start()
    return run
  }

  /** Drops finished runs, those that started earliest first; what they have read is kept as long as there is room. */
  #dropFinishedRuns (): void {
    const finished = [...this.#runs.values()].filter(({ order, progress }) => isComplete(order, progress))
    for (const { order, progress } of finished.slice(0, -MAX_FINISHED_RUNS)) {
      this.#runs.delete(order.id)
      this.#loader.keep(order, progress)
    }
  }

  /** Drops a run whose rollout another host has claimed, and sends that host what it can continue from. */
  async #yieldRun (handover: AdoptRollout, owner: string): Promise<void> {
    const { progress } = this.#runs.get(handover.order.id) ?? {}
    this.#runs.delete(handover.order.id)
    this.#loader.keep(handover.order, progress)
    this.#directory.recordOwner(handover.order.id, owner)
    const host = this.#directory.findWorker(owner)
    if (host !== undefined && host.id !== this.#context.self.id) await this.#sendHandover(handover, host, Infinity)
  }

  /** Hands the unfinished runs over to hosts that reach endpoints. A run that no host adopts goes on here. */
  async #relinquishRuns (): Promise<void> {
    if (this.#isRelinquishing) return
    this.#isRelinquishing = true
    try {
      await Promise.all([...this.#runs.values()].filter((run) => !run.isFinished).map(async (run) => await this.#relinquish(run, () => this.#context.relay.isCutOff)))
    } finally {
      this.#isRelinquishing = false
    }
  }

  /**
   * Hands a run over to another host; it goes on here if no host adopts it.
   *
   * @param isNeeded whether there is still a reason for that
   */
  async #relinquish (run: RolloutRun, isNeeded: () => boolean): Promise<void> {
    const { order, progress } = run
    const adopter = await this.#findAdopter(trainerOf(order), this.homesOf(order))
    if (adopter === undefined || this.#leaving || run.isFinished || !isNeeded()) return
    const handover = run.handOver()
    const isAdopted = await this.#sendHandover(handover, adopter, deadlineAfter(ADOPTION_TIMEOUT_MS))
    if (this.#runs.get(order.id) !== run) return
    this.#runs.delete(order.id)
    this.#loader.keep(order, progress)
    if (isAdopted) this.#directory.recordOwner(order.id, adopter.id)
    // This host began to leave meanwhile, which passes over stopped runs.
    else if (this.#leaving) await this.#handOver(run, deadlineAfter(ADOPTION_TIMEOUT_MS))
    // The log is read before the new run starts work, so it sees an adoption whose reply was lost.
    else this.#startRun(this.#createRun(order, progress), handover)
  }

  /** Finds a host that would adopt a trainer's rollouts, preferably in another failure domain: a domain may be cut off as a whole. */
  async #findAdopter (trainer: string, homes: HomeRegions): Promise<Host | undefined> {
    const { self, bus } = this.#context
    const others = this.#directory.rank(trainer, homes).filter(({ id }) => id !== self.id)
    const isNear = ({ failureDomain }: Host): boolean => failureDomain === self.failureDomain
    const candidates = [...others.filter((host) => !isNear(host)), ...others.filter(isNear)].slice(0, MAX_OFFERS)
    const answers = await Promise.all(candidates.map(async (host) => {
      const answer = await bus.send(host, { kind: PeerMessageKind.OfferRollout, trainer }, { deadline: deadlineAfter(OFFER_TIMEOUT_MS) })
      return answer.ok && answer.value.accepted ? host : undefined
    }))
    return answers.find((host) => host !== undefined)
  }

  async #handOver (run: RolloutRun, deadline: number): Promise<void> {
    const handover = run.handOver()
    for (const owner of this.#successorsOf(run)) {
      if (monotonicNow() >= deadline) return
      if (await this.#sendHandover(handover, owner, deadline)) return
    }
  }

  /** Returns the other hosts that may own the rollout of a run, in order of preference. */
  #successorsOf ({ order }: RolloutRun): Host[] {
    return this.#directory.rank(trainerOf(order), this.homesOf(order)).filter(({ id }) => id !== this.#context.self.id)
  }

  /** Sends a rollout to another host; returns whether it has adopted it. */
  async #sendHandover (handover: AdoptRollout, to: Host, deadline: number): Promise<boolean> {
    const answer = await this.#requests.ask(to, handover, Math.min(deadline, deadlineAfter(ADOPTION_TIMEOUT_MS)))
    const accepted = answer.ok && answer.value.accepted
    this.#context.log.record(LogEvent.RolloutHandedOver, { requestId: handover.order.id, to: to.id, texts: handover.texts.length, results: handover.results.length, outcome: accepted ? 'accepted' : 'refused' })
    return accepted
  }
}

/** Returns the host that owns a rollout according to a read of its log; empty if none does. */
function ownerHostOf (order: RolloutOrder, progress: RolloutProgress): string {
  return hostOfWriter(ownerOf(order, progress))
}

function openedRun (run: RolloutRun): OpenedRollout {
  return { order: run.order, progress: run.progress, run, owner: ownerHostOf(run.order, run.progress), readAt: suspendAwareNow() }
}
