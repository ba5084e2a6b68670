import { chooseOwner, describeHomes, failure, hostOfWriter, isHome, isInDomains, isInService, domainsOfHomes, notRun, ownerOf, Ran, rankOwners, RefusalReason, success, trainerOf } from '@cyclamenthread/state'
import { PeerMessageKind, RolloutCreationStatus } from '@cyclamenthread/protocol'
import { deadlineAfter, monotonicNow } from '@cyclamenthread/transport'
import { EndKeeper } from './end-keeper.js'
import { LogEvent } from './event-log.js'
import { OwnerDirectory } from './owner-directory.js'
import { isComplete } from './rollout-loader.js'
import { RolloutReader } from './rollout-reader.js'
import { RolloutRun } from './rollout-run.js'
import { RunRegistry } from './run-registry.js'
import { firstMatch } from './shared-work.js'
import { taskService } from './task.js'
import { WatchedRequests } from './watched-request.js'
import type { ServiceSchema } from 'moleculer'
import type { Host, Outcome, Refusal, RolloutName, RolloutOrder } from '@cyclamenthread/state'
import type { RolloutPage } from '@cyclamenthread/protocol'
import type { MemberView } from './member-task.js'
import type { EndInquiry, RunRegistryContext } from './run-registry.js'

/** Timeout for storing a rollout, in milliseconds; leaves another host the same time before the caller's timeout. */
const ACCEPT_TIMEOUT_MS = 900

/** Maximum number of other hosts that are asked to store a rollout that this host can't store. */
const MAX_OTHER_ACCEPTORS = 2

/** Time allowed for the reply of a host that is asked to store or run a rollout, in milliseconds: a round trip between regions and a delay at a busy host. */
const REPLY_MARGIN_MS = 450

/** Timeout for reading a rollout's order from the store, in milliseconds. */
const LOAD_TIMEOUT_MS = 2_500

/** Time after the wait of a read by which it is answered unless its caller says otherwise, in milliseconds: a take-over and a read of the log. */
const MAX_REPLY_MS = 1_200

/** Timeout for ending a rollout, in milliseconds. */
const END_TIMEOUT_MS = 3_500

/** Timeout for a request to an owner to end a rollout, in milliseconds. */
const OWNER_REQUEST_TIMEOUT_MS = 1_200

/** Time after which an end that a request tries to store is tried again without it, in milliseconds: well after the request has given up. */
const END_REQUEST_MS = 10_000

/** Number of other hosts that keep an end which this host couldn't store. */
const MAX_END_COPIES = 3

/** Time after which other hosts are told of an end that isn't stored yet, in milliseconds: several usual writes. */
const END_COPY_DELAY_MS = 1_000

/** Timeout for handing ends to another host, in milliseconds. */
const END_COPY_TIMEOUT_MS = 1_200

/** Maximum number of ends in one message. */
const MAX_ENDS_PER_MESSAGE = 500

/** Time for which the end of a rollout is kept whose lifetime isn't known, in milliseconds. */
const UNKNOWN_LIFETIME_MS = 3_600_000

/** Number of hosts that are asked before a new rollout is assigned to one. */
const MAX_OFFERS = 3

/**
 * Timeout for an answer to such an offer, in milliseconds: a host that takes longer
 * is too busy to own a rollout. Well below the time in which trainers want the
 * rollout accepted.
 */
const OFFER_TIMEOUT_MS = 120

/** Retry delay suggested to a trainer while the store is unavailable, in milliseconds. */
const RETRY_AFTER_MS = 500

/** Dependencies of a {@link RolloutTask}. */
export interface RolloutTaskContext extends RunRegistryContext {
  readonly members: MemberView
  /** Called with each accepted rollout. */
  readonly onAccepted?: (order: RolloutOrder) => void
}

/**
 * Accepts rollouts, assigns each to a host that runs it, and lets callers read and
 * end it on any host.
 *
 * Invariants: a rollout is accepted only once the store has it; an end is confirmed
 * only once the log has it; an end that couldn't be stored is kept until it
 * is, or the samples have expired.
 */
export class RolloutTask {
  readonly #context: RolloutTaskContext
  readonly #directory: OwnerDirectory
  readonly #requests: WatchedRequests
  readonly #registry: RunRegistry
  readonly #reader: RolloutReader
  readonly #ends: EndKeeper
  /** Ends that are being stored for other hosts, by rollout. */
  readonly #ending = new Map<string, Promise<boolean>>()

  constructor (context: RolloutTaskContext) {
    this.#context = context
    this.#directory = new OwnerDirectory(context.self, context.members)
    this.#ends = new EndKeeper({ storeEnd: async ({ rolloutId, workspace }) => isSettled(await this.#storeEnd(rolloutId, workspace)), log: context.log })
    this.#requests = new WatchedRequests(context.bus, this.#directory)
    const isEndPending: EndInquiry = ({ id, workspace }) => this.#ends.has({ rolloutId: id, workspace })
    this.#registry = new RunRegistry(context, { directory: this.#directory, requests: this.#requests, isEndPending })
    this.#reader = new RolloutReader(context, this.#directory, this.#registry, this.#requests)
  }

  /** Creates the broker service that answers other hosts. */
  service (): ServiceSchema {
    return taskService('rollouts', {
      [PeerMessageKind.AcceptRollout]: async ({ order }) => ({ creation: await this.#create(order) }),
      [PeerMessageKind.OfferRollout]: async ({ trainer }) => ({ accepted: this.#registry.acceptsRuns, foreignSamples: this.#registry.foreignSamples(trainer) }),
      [PeerMessageKind.RunRollout]: async ({ rolloutId, order }) => {
        if (this.#registry.isLeaving) return { accepted: false }
        if (order?.owner === this.#context.self.id) this.#registry.startAssigned(order)
        else void this.#registry.runIfOwnedOrLost(rolloutId)
        return { accepted: true }
      },
      [PeerMessageKind.AdoptRollout]: async (handover) => ({ accepted: await this.#registry.adopt(handover) }),
      [PeerMessageKind.ReadRollout]: async ({ rolloutId, workspace, after, waitMs, forwarded }, meta) => {
        const deadline = deadlineAfter(waitMs)
        return await this.#reader.readHere({ id: rolloutId, workspace, after, deadline, replyBy: Math.min(meta.deadline, deadline + MAX_REPLY_MS), forwarded })
      },
      [PeerMessageKind.RecheckRollout]: async ({ rolloutId }) => {
        const opened = this.#registry.isLeaving ? undefined : await this.#registry.open(rolloutId, deadlineAfter(LOAD_TIMEOUT_MS))
        if (opened?.ok !== true || opened.value === undefined) return { accepted: false }
        const { run, order, progress } = opened.value
        return { accepted: run === undefined ? isComplete(order, progress) : await run.recheck() }
      },
      [PeerMessageKind.EndRollout]: async ({ rolloutId, workspace }) => {
        const run = this.#registry.find(rolloutId)
        return { accepted: run?.order.workspace === workspace && await this.#endRun(run) }
      },
      [PeerMessageKind.KeepRolloutEnds]: async ({ ends }) => {
        if (this.#registry.isLeaving) return { accepted: false }
        const kept = ends.map(({ rolloutId, workspace }) => this.#keepEnd(rolloutId, workspace, monotonicNow()))
        return { accepted: kept.every(Boolean) }
      }
    })
  }

  /** Number of rollouts that run on this host. */
  get running (): number {
    return this.#registry.running
  }

  /** Accepts no more runs, and hands the current ones and the ends that aren't stored over to other hosts. */
  async leave (deadline: number): Promise<void> {
    // Must precede the runs, so that their next owners start nothing of them.
    await this.#copyEnds(this.#ends.all, Math.min(deadline, deadlineAfter(END_COPY_TIMEOUT_MS)))
    await this.#registry.leave(deadline)
  }

  /** Stops all runs. */
  stop (): void {
    this.#ends.stop()
    this.#registry.stop()
  }

  /** Accepts a rollout; success means that it is stored. */
  async accept (submitted: RolloutOrder): Promise<Outcome<void, Refusal>> {
    const order = this.#withHomes(submitted)
    const unserved = this.#refuseOutsideHomes(order)
    if (unserved !== undefined) return await this.#refuseUnlessStored(order, unserved)
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

  /**
   * Reads results from a position on; waits for the first one until the deadline.
   *
   * @param replyBy monotonic milliseconds by which the caller needs an answer, if only a refusal
   */
  async readResults (id: string, workspace: string, after: number, deadline: number, replyBy = deadline + MAX_REPLY_MS): Promise<RolloutPage> {
    return await this.#reader.read({ id, workspace, after, deadline, replyBy, forwarded: false })
  }

  /**
   * Ends a rollout; success means that the end is stored. An end that can't be stored
   * in time is kept here and at other hosts, and stored as soon as possible.
   */
  async endRollout (id: string, workspace: string): Promise<Outcome<void, Refusal>> {
    const name = { rolloutId: id, workspace }
    const isKept = this.#keepEnd(id, workspace, deadlineAfter(END_REQUEST_MS))
    const copyEnd = (): void => {
      void this.#copyEnds([name], deadlineAfter(END_COPY_TIMEOUT_MS))
    }
    const copying = isKept ? setTimeout(copyEnd, END_COPY_DELAY_MS) : undefined
    const ended = await this.#storeEnd(id, workspace).finally(() => clearTimeout(copying))
    if (ended.ok || isSettled(ended)) {
      this.#ends.forget(name)
      return ended
    }
    this.#logEnd(id, workspace, isKept ? 'kept' : 'unknown')
    if (isKept) {
      this.#ends.retry(name)
      copyEnd()
    }
    return failure({ ...ended.failure, ran: Ran.Maybe })
  }

  /** Stores the end of a rollout through its owner or from here. */
  async #storeEnd (id: string, workspace: string): Promise<Outcome<void, Refusal>> {
    const deadline = deadlineAfter(END_TIMEOUT_MS)
    if (await this.#endAtOwner(id, workspace)) return success(undefined)
    const order = await this.#findOrder(id, deadline)
    if (!order.ok) return order
    if (order.value.workspace !== workspace) return failure(unknownRollout(id))
    const run = await this.#openForEnd(order.value, deadline)
    const ended = run !== undefined && await this.#appendEnd(run)
    if (ended) this.#logEnd(id, workspace, 'ended')
    return ended
      ? success(undefined)
      : failure({ reason: RefusalReason.StoreUnavailable, ran: Ran.Maybe, detail: 'the store did not confirm the end', retryAfterMs: RETRY_AFTER_MS })
  }

  /** Returns a run that is up to date and can append the end; undefined if the log can't be read. */
  async #openForEnd (order: RolloutOrder, deadline: number): Promise<RolloutRun | undefined> {
    const run = this.#registry.find(order.id)
    if (run !== undefined) return await run.refreshProgress(0) ? run : undefined
    const loaded = await this.#registry.load(order.id, deadline)
    return loaded.ok && loaded.value !== undefined ? new RolloutRun(this.#context, order, loaded.value.progress) : undefined
  }

  /** Returns the body of a sample as the trainer sent it, or a refusal by the given time. */
  async readSampleBody (id: string, workspace: string, sampleId: string, replyBy = deadlineAfter(MAX_REPLY_MS)): Promise<Outcome<Uint8Array, Refusal>> {
    const order = await this.#findOrder(id, replyBy)
    if (!order.ok) return order
    const sample = order.value.samples.find((candidate) => candidate.id === sampleId)
    if (order.value.workspace !== workspace || sample === undefined) return failure(unknownRollout(id))
    return success(Buffer.from(sample.body, 'base64'))
  }

  /** Refuses a rollout, unless an earlier attempt of its trainer has stored it: it is accepted then, and "not run" would be false. */
  async #refuseUnlessStored ({ id }: RolloutOrder, refusal: Refusal): Promise<Outcome<void, Refusal>> {
    const stored = await this.#registry.loadOrder(id, deadlineAfter(ACCEPT_TIMEOUT_MS))
    if (!stored.ok) return failure({ ...refusal, reason: RefusalReason.OutcomeUnknown, ran: Ran.Maybe })
    return stored.value === undefined ? failure(refusal) : success(undefined)
  }

  /** Adds the homes that bind a rollout to its order, for hosts that don't know the declaration yet. */
  #withHomes (order: RolloutOrder): RolloutOrder {
    const regions = this.#registry.homesOf(order)
    const { routeTable } = this.#context.deployment
    return regions === undefined || routeTable === undefined ? order : { ...order, homes: { regions: [...regions], declaration: routeTable.declaration.version } }
  }

  /** Returns a refusal if no host or no endpoint in the homes of a rollout can serve it now. */
  #refuseOutsideHomes (order: RolloutOrder): Refusal | undefined {
    const homes = this.#registry.homesOf(order)
    if (homes === undefined) return undefined
    const { deployment, members, networkLocation } = this.#context
    const domains = domainsOfHomes(homes, networkLocation.regions)
    const isServed = deployment.endpointTable.endpointsOfService(order.service).some((record) => isInService(record) && isInDomains(record, domains))
    const isOwned = members.workers().some(({ region }) => isHome(homes, region))
    if (isServed && isOwned) return undefined
    const detail = `no ${isServed ? 'host' : `endpoint of service ${order.service}`} is in service in the homes of the rollout (${describeHomes(homes)})`
    this.#context.log.record(LogEvent.RolloutAccepted, { requestId: order.id, workspace: order.workspace, route: order.route, outcome: 'refused', detail })
    return notRun(RefusalReason.NoEndpoint, detail, RETRY_AFTER_MS)
  }

  /** Stores a rollout and assigns it to an owner. */
  async #create (order: RolloutOrder): Promise<RolloutCreationStatus> {
    const assigned = { ...order, owner: await this.#chooseOwner(order) }
    const creation = await this.#context.store.create(assigned, deadlineAfter(ACCEPT_TIMEOUT_MS))
    const isCreated = creation === RolloutCreationStatus.Created
    if (isCreated) this.#registry.rememberOrder(assigned)
    // A host outside the homes keeps no copy of the order, so it notes the owner for later reads.
    if (isCreated && !this.#registry.isWithinHomes(assigned)) this.#directory.recordOwner(assigned.id, assigned.owner)
    if (isCreated || creation === RolloutCreationStatus.Known) void this.#notifyOwner(assigned, isCreated)
    return creation
  }

  /** Chooses the host that owns a new rollout by the load of the preferred ones. */
  async #chooseOwner (order: RolloutOrder): Promise<string> {
    const trainer = trainerOf(order)
    const preferred = this.#directory.rank(trainer, this.#registry.homesOf(order)).slice(0, MAX_OFFERS)
    const candidates = await Promise.all(preferred.map(async (host) => ({ hostId: host.id, processorCores: host.processorCores ?? 1, foreignSamples: await this.#offer(host, trainer) })))
    const owner = chooseOwner(candidates, order.samples.length) ?? (this.#registry.isWithinHomes(order) ? this.#context.self.id : '')
    this.#context.log.record(LogEvent.RolloutAssigned, { requestId: order.id, trainer, owner, candidates: candidates.map(({ hostId, foreignSamples }) => `${hostId}: ${foreignSamples ?? 'no answer'}`) })
    return owner
  }

  /** Asks a host for its load from other trainers; undefined if it doesn't answer or accepts no rollouts. */
  async #offer (host: Host, trainer: string): Promise<number | undefined> {
    if (host.id === this.#context.self.id) return this.#registry.acceptsRuns ? this.#registry.foreignSamples(trainer) : undefined
    const answer = await this.#context.bus.send(host, { kind: PeerMessageKind.OfferRollout, trainer }, { deadline: deadlineAfter(OFFER_TIMEOUT_MS) })
    return answer.ok && answer.value.accepted ? answer.value.foreignSamples : undefined
  }

  /**
   * Stores a rollout from this host or, if the store doesn't answer it, through
   * hosts in other failure domains. The rollout is refused only if no attempt can
   * have stored it.
   */
  async #createOnAnyHost (order: RolloutOrder): Promise<RolloutCreationStatus> {
    const ownCreation = await this.#create(order)
    if (ownCreation === RolloutCreationStatus.Created || ownCreation === RolloutCreationStatus.Known) return ownCreation
    const { self, members } = this.#context
    const homes = this.#registry.homesOf(order)
    const others = members.workers().filter((host) => host.failureDomain !== self.failureDomain && isHome(homes, host.region) && !this.#directory.isSilent(host.id))
    const asked = rankOwners(`accept/${order.id}`, others.map(({ id }) => id)).slice(0, MAX_OTHER_ACCEPTORS)
    const creations = others.filter(({ id }) => asked.includes(id)).map(async (host) => {
      const answer = await this.#requests.ask(host, { kind: PeerMessageKind.AcceptRollout, order }, deadlineAfter(ACCEPT_TIMEOUT_MS + REPLY_MARGIN_MS))
      return answer.ok ? answer.value.creation : RolloutCreationStatus.Unknown
    })
    // Whichever host stores it first determines its owner; the others find it stored.
    const stored = await firstMatch(creations, (creation) => creation === RolloutCreationStatus.Created || creation === RolloutCreationStatus.Known)
    if (stored !== undefined) return stored
    const mayBeStored = ownCreation === RolloutCreationStatus.Unknown || (await Promise.all(creations)).includes(RolloutCreationStatus.Unknown)
    return mayBeStored ? RolloutCreationStatus.Unknown : RolloutCreationStatus.Refused
  }

  /**
   * Tells the assigned owner of a rollout to run it. If it doesn't answer, the next
   * hosts in order of preference are asked, which decide by the log.
   */
  async #notifyOwner (order: RolloutOrder, isNew: boolean): Promise<void> {
    const ranked = this.#directory.rank(trainerOf(order), this.#registry.homesOf(order))
    const isFirst = (host: Host): boolean => host.id === order.owner && !this.#directory.isSilent(host.id)
    const hosts = [...ranked.filter(isFirst), ...ranked.filter((host) => !isFirst(host))]
    for (const host of hosts) {
      const isAssigned = isNew && host.id === order.owner
      if (host.id === this.#context.self.id && !this.#registry.isLeaving) {
        if (isAssigned) this.#registry.startAssigned(order)
        else await this.#registry.runIfOwnedOrLost(order.id)
        return
      }
      const message = { kind: PeerMessageKind.RunRollout, rolloutId: order.id, ...(isAssigned ? { order } : {}) } as const
      const deadline = deadlineAfter(REPLY_MARGIN_MS)
      const answer = await this.#context.bus.send(host, message, { deadline })
      if (answer.ok && answer.value.accepted) return
      this.#directory.recordSilence(host.id, deadline)
    }
  }

  /**
   * Keeps an end until it is stored; a run of its rollout on this host starts nothing more.
   *
   * @param tryAt monotonic milliseconds before which no attempt is made in the background
   * @returns whether the end is kept
   */
  #keepEnd (rolloutId: string, workspace: string, tryAt: number): boolean {
    const order = this.#registry.knownOrder(rolloutId)
    if (order !== undefined && order.workspace !== workspace) return false
    const lifetimeMs = order === undefined ? UNKNOWN_LIFETIME_MS : order.expiresAt - order.acceptedAt
    const isKept = this.#ends.keep({ rolloutId, workspace, keepUntil: deadlineAfter(lifetimeMs), tryAt })
    if (isKept && order !== undefined) this.#registry.find(rolloutId)?.holdWork()
    return isKept
  }

  /** Ends a run of this host for another one, which may ask again meanwhile; returns whether the end is stored. */
  async #endRun (run: RolloutRun): Promise<boolean> {
    const { id } = run.order
    const ending = this.#ending.get(id) ?? this.#endOrKeep(run).finally(() => this.#ending.delete(id))
    this.#ending.set(id, ending)
    return await ending
  }

  /** Ends a run of this host; an end that can't be stored now is kept. Returns whether the end is stored. */
  async #endOrKeep (run: RolloutRun): Promise<boolean> {
    const name = { rolloutId: run.order.id, workspace: run.order.workspace }
    this.#keepEnd(name.rolloutId, name.workspace, deadlineAfter(END_REQUEST_MS))
    const ended = await this.#appendEnd(run)
    if (ended) this.#ends.forget(name)
    else this.#ends.retry(name)
    return ended
  }

  /** Hands ends to the hosts that own their rollouts or would own them next. */
  async #copyEnds (ends: readonly RolloutName[], deadline: number): Promise<void> {
    const copiesOfHosts = new Map<string, { readonly host: Host, readonly copies: RolloutName[] }>()
    for (const { rolloutId, workspace } of ends) {
      for (const host of this.#selectEndKeepers(rolloutId, workspace)) {
        const copies: RolloutName[] = copiesOfHosts.get(host.id)?.copies ?? []
        copies.push({ rolloutId, workspace })
        copiesOfHosts.set(host.id, { host, copies })
      }
    }
    await Promise.all([...copiesOfHosts.values()].map(async ({ host, copies }) => {
      for (let from = 0; from < copies.length; from += MAX_ENDS_PER_MESSAGE) {
        const part = copies.slice(from, from + MAX_ENDS_PER_MESSAGE)
        const answer = await this.#context.bus.send(host, { kind: PeerMessageKind.KeepRolloutEnds, ends: part }, { deadline })
        this.#context.log.record(LogEvent.RolloutEndsCopied, { to: host.id, ends: part.length, outcome: answer.ok && answer.value.accepted ? 'accepted' : 'refused' })
      }
    }))
  }

  /** Selects the other hosts that keep the end of a rollout: its owner as far as it is known, then those that would run it next. */
  #selectEndKeepers (id: string, workspace: string): Host[] {
    const order = this.#registry.knownOrder(id)
    const owner = this.#directory.findWorker(this.#directory.hintOf(id)) ?? this.#directory.findWorker(order?.owner)
    const next = order === undefined ? this.#directory.likelyOwners(id, workspace) : this.#directory.rank(trainerOf(order), this.#registry.homesOf(order))
    const hosts = new Map([...(owner === undefined ? [] : [owner]), ...next].map((host) => [host.id, host]))
    hosts.delete(this.#context.self.id)
    return [...hosts.values()].slice(0, MAX_END_COPIES)
  }

  /** Asks the owner to end a rollout; returns whether the end is stored. */
  async #endAtOwner (id: string, workspace: string): Promise<boolean> {
    if (this.#registry.find(id) !== undefined) return false
    const owner = this.#directory.likelyOwners(id, workspace).find((host) => !this.#directory.isSilent(host.id))
    if (owner === undefined || owner.id === this.#context.self.id) return false
    const deadline = deadlineAfter(OWNER_REQUEST_TIMEOUT_MS)
    const answer = await this.#requests.ask(owner, { kind: PeerMessageKind.EndRollout, rolloutId: id, workspace }, deadline)
    if (!answer.ok && !this.#directory.isSilent(owner.id)) this.#directory.recordSilence(owner.id, deadline)
    const ended = answer.ok && answer.value.accepted
    if (ended) this.#logEnd(id, workspace, 'ended by its owner')
    return ended
  }

  /** Appends the end to the log, and makes the owner read it if that is another host. */
  async #appendEnd (run: RolloutRun): Promise<boolean> {
    const ended = await run.appendEnd(deadlineAfter(END_TIMEOUT_MS))
    if (ended) await this.#registry.notifyChange(run.order, hostOfWriter(ownerOf(run.order, run.progress)))
    return ended
  }

  #logEnd (id: string, workspace: string, outcome: string): void {
    this.#context.log.record(LogEvent.RolloutEnded, { requestId: id, workspace, outcome })
  }

  async #findOrder (id: string, deadline: number): Promise<Outcome<RolloutOrder, Refusal>> {
    const known = this.#registry.knownOrder(id)
    if (known !== undefined) return success(known)
    const order = await this.#registry.loadOrder(id, deadline)
    if (!order.ok) return failure({ reason: RefusalReason.StoreUnavailable, ran: Ran.No, detail: 'the store can\'t be read', retryAfterMs: RETRY_AFTER_MS })
    if (order.value === undefined) return failure(unknownRollout(id))
    return success(order.value)
  }
}

/** Whether nothing is left to do for an end: it is stored, or there is no such rollout. */
function isSettled (ended: Outcome<void, Refusal>): boolean {
  return ended.ok || ended.failure.reason === RefusalReason.UnknownBatch
}

function unknownRollout (id: string): Refusal {
  return notRun(RefusalReason.UnknownBatch, `rollout ${JSON.stringify(id)} does not exist`)
}
