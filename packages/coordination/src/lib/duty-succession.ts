import { EndpointSign } from '@cyclamenthread/state'
import { PeerMessageKind } from '@cyclamenthread/protocol'
import { deadlineAfter, monotonicNow } from '@cyclamenthread/transport'
import { LogEvent } from './event-log.js'
import { Periodic } from './periodic.js'
import { responsiveWorkers } from './responsive-workers.js'
import { taskService } from './task.js'
import type { ServiceSchema } from 'moleculer'
import type { Host } from '@cyclamenthread/state'
import type { DutyContext } from './duty-context.js'
import type { LeaderReach } from './leader-reach.js'

/** How often the leader checks whether it still reaches endpoints, and a host that has accepted tries to take the lease, in milliseconds. */
const CHECK_PERIOD_MS = 200

/** Time between two rounds of offers, in milliseconds. */
const OFFER_PERIOD_MS = 500

/** Number of hosts that are offered the duties at once. */
const MAX_OFFERS = 3

/** Timeout for another host to accept, which includes its probes, in milliseconds. */
const OFFER_TIMEOUT_MS = 700

/** Number of endpoints that are probed to find out whether any is reached, and the timeout, in milliseconds. */
const PROBED_ENDPOINTS = 3
const PROBE_TIMEOUT_MS = 300

/** Leases for which a host that has accepted contends: the holder's may have to run out first. */
const INVITATION_LEASES = 3

/** Leases for which a host doesn't contend after it has handed the duties over or was cut off, so that one that reaches endpoints takes them. */
const WITHDRAWAL_LEASES = 2

/** Settings of the succession. */
export interface SuccessionSettings {
  readonly leaseMs: number
  /** Region of the store, whose hosts are asked first. */
  readonly storeRegion: string
}

/** What the leader does for its succession. */
export interface SuccessionHooks {
  readonly isLeader: () => boolean
  /** Gives the lease up while this host runs on. */
  readonly handOver: () => Promise<void>
  /** Tries to take the lease. */
  readonly contend: () => void
}

/**
 * Hands the duties over while the host that leads reaches no endpoint.
 *
 * Invariant: a leader gives the lease up only after another host, which has just
 * reached an endpoint, has agreed to contend for it. If none does, the leader keeps
 * the duties, of which some need no endpoint.
 */
export class DutySuccession {
  readonly #settings: SuccessionSettings
  readonly #context: DutyContext
  readonly #reach: LeaderReach
  readonly #hooks: SuccessionHooks
  readonly #loop = new Periodic(CHECK_PERIOD_MS, async () => await this.#check())
  #nextOfferAt = -Infinity
  /** Number of hosts that were offered the duties, so that all are in turn. */
  #offered = 0
  #invitedUntil = -Infinity
  #withdrawnUntil = -Infinity
  /** Monotonic milliseconds since which this host is seen to be cut off. */
  #cutOffSince: number | undefined

  constructor (settings: SuccessionSettings, context: DutyContext, reach: LeaderReach, hooks: SuccessionHooks) {
    this.#settings = settings
    this.#context = context
    this.#reach = reach
    this.#hooks = hooks
  }

  /** Returns the broker service that accepts the duties of other hosts. */
  service (): ServiceSchema {
    return taskService('duties', {
      [PeerMessageKind.OfferDuties]: async () => ({ accepted: await this.#accept() })
    })
  }

  /** Whether the leader has asked this host to contend for the lease. */
  get isInvited (): boolean {
    return monotonicNow() < this.#invitedUntil
  }

  /** Whether this host leaves the lease to others for now. If nobody else has taken it then, it contends even though it is cut off. */
  isWithdrawn (): boolean {
    const now = monotonicNow()
    if (now < this.#withdrawnUntil) return true
    this.#cutOffSince = this.#reach.isCutOff ? this.#cutOffSince ?? now : undefined
    return this.#cutOffSince !== undefined && now < this.#cutOffSince + this.#settings.leaseMs * WITHDRAWAL_LEASES
  }

  start (): void {
    void this.#loop.start()
  }

  /** Accepts no more duties, and waits for a check under way. */
  async stop (): Promise<void> {
    this.#invitedUntil = -Infinity
    this.#withdrawnUntil = Infinity
    await this.#loop.stop()
  }

  async #accept (): Promise<boolean> {
    if (monotonicNow() < this.#withdrawnUntil || !await this.#reachesEndpoint()) return false
    if (monotonicNow() < this.#withdrawnUntil) return false
    this.#invitedUntil = monotonicNow() + this.#settings.leaseMs * INVITATION_LEASES
    return true
  }

  async #check (): Promise<void> {
    if (this.#hooks.isLeader()) this.#invitedUntil = -Infinity
    // The lease is to be seen, and to be taken when it has run out, without the pauses of other candidates.
    else if (this.isInvited) this.#hooks.contend()
    await this.#handOverIfCutOff()
  }

  async #handOverIfCutOff (): Promise<void> {
    const { log } = this.#context
    const { isLeader, handOver } = this.#hooks
    if (!isLeader() || !this.#reach.isCutOff || monotonicNow() < this.#nextOfferAt) return
    this.#nextOfferAt = monotonicNow() + OFFER_PERIOD_MS
    const startedAt = monotonicNow()
    // Endpoints may have crashed together.
    if (await this.#reachesEndpoint()) return
    const successor = await this.#findSuccessor()
    log.record(LogEvent.DutiesOffered, { to: successor?.id, tookMs: Math.round(monotonicNow() - startedAt) })
    if (successor === undefined || !isLeader()) return
    this.#withdrawnUntil = Math.max(this.#withdrawnUntil, monotonicNow() + this.#settings.leaseMs * WITHDRAWAL_LEASES)
    await handOver()
  }

  /** Whether any of a few endpoints answers on a new connection. */
  async #reachesEndpoint (): Promise<boolean> {
    const { deployment, endpoints } = this.#context
    const probed = deployment.endpointTable.endpointsInService()
      .map(({ entry }) => ({ entry, order: Math.random() }))
      .sort((a, b) => a.order - b.order)
      .slice(0, PROBED_ENDPOINTS)
    const signs = await Promise.all(probed.map(async ({ entry }) => await endpoints.probe(entry, deadlineAfter(PROBE_TIMEOUT_MS))))
    if (!signs.includes(EndpointSign.Alive)) return false
    this.#reach.recordReached()
    return true
  }

  /** Finds a host that accepts the duties, a few at a time; first those near the store and of other failure domains, since one may be cut off as a whole. */
  async #findSuccessor (): Promise<Host | undefined> {
    const { hostId, members, bus } = this.#context
    const workers = responsiveWorkers(members)
    const self = workers.find(({ id }) => id === hostId)
    const rank = (host: Host): number => (host.region === this.#settings.storeRegion ? 0 : 2) + (host.failureDomain === self?.failureDomain ? 1 : 0)
    const others = workers.filter(({ id }) => id !== hostId).sort((a, b) => rank(a) - rank(b) || (a.id < b.id ? -1 : 1))
    if (others.length === 0) return undefined
    const from = this.#offered % others.length
    const asked = [...others.slice(from), ...others.slice(0, from)].slice(0, MAX_OFFERS)
    this.#offered = from + asked.length
    const answers = await Promise.all(asked.map(async (host) => {
      const answer = await bus.send(host, { kind: PeerMessageKind.OfferDuties }, { deadline: deadlineAfter(OFFER_TIMEOUT_MS) })
      return answer.ok && answer.value.accepted ? host : undefined
    }))
    return answers.find((host) => host !== undefined)
  }
}
