import { findOwner, GRANT_LIFETIME_MS, HostState, LimitAccount, notRun, RefusalReason, scaleLimits } from '@cyclamenthread/state'
import { PeerMessageKind } from '@cyclamenthread/protocol'
import { deadlineAfter, monotonicNow } from '@cyclamenthread/transport'
import { LimitQueue } from './limit-queue.js'
import { Periodic } from './periodic.js'
import { taskService } from './task.js'
import type { ServiceSchema } from 'moleculer'
import type { LimitDemand, Limits, Refusal } from '@cyclamenthread/state'
import type { RequestLimitGrant } from '@cyclamenthread/protocol'
import type { CatalogueSource } from './catalogue-task.js'
import type { HostSettings } from './host-settings.js'
import type { LimitAnswer } from './limit-queue.js'
import type { MemberView } from './member-task.js'
import type { MessageBus, MessageMeta } from './message-bus.js'

/** Time after a membership change in which an account grants nothing: by then the grants of a former owner have left the window. */
const TAKEOVER_PAUSE_MS = 1_000 + GRANT_LIFETIME_MS

/** Longest wait for the answer of an account's owner, in milliseconds. */
const ASK_TIMEOUT_MS = 500

/** How often a host reports the permits it holds to the accounts, in milliseconds. */
const HELD_REPORT_PERIOD_MS = 500

/** A request for permits under the limits of its workspace and entry. */
export interface LimitRequest {
  readonly workspace: string
  readonly entry: string
  readonly expectedTokens: number
  /** Whether an earlier attempt of the request was already counted. */
  readonly counted: boolean
  /** Monotonic deadline in milliseconds. */
  readonly deadline: number
}

/** The accounts under which a request is counted; it must be released exactly once. */
export interface LimitPermit {
  readonly accounts: readonly string[]
}

/** The outcome of a request for a permit. */
export type LimitResult =
  | { readonly granted: true, readonly permit: LimitPermit }
  | { readonly granted: false, readonly refusal: Refusal }

/**
 * Enforces the limits of workspaces and entries across all hosts. Each limit has
 * an account on one host, chosen by rendezvous hashing, which every host asks
 * before a request enters a queue. If there is no answer, a host falls back to its
 * fixed share of the limit.
 *
 * Invariant: an account grants nothing within `TAKEOVER_PAUSE_MS` of a membership
 * change that may have moved it, so that two owners don't grant the same second twice.
 */
export class LimitTask {
  readonly #settings: HostSettings
  readonly #members: MemberView
  readonly #catalogue: CatalogueSource
  readonly #bus: MessageBus
  readonly #accounts = new Map<string, LimitAccount>()
  readonly #queues = new Map<string, LimitQueue>()
  readonly #reportLoop: Periodic
  #hostsChangedAt = monotonicNow()

  constructor (settings: HostSettings, members: MemberView, catalogue: CatalogueSource, bus: MessageBus) {
    this.#settings = settings
    this.#members = members
    this.#catalogue = catalogue
    this.#bus = bus
    this.#reportLoop = new Periodic(HELD_REPORT_PERIOD_MS, async () => {
      for (const queue of this.#queues.values()) queue.reportHeld()
    })
  }

  /** Returns the broker service that answers for the accounts owned by this host. */
  service (): ServiceSchema {
    return taskService('limits', {
      [PeerMessageKind.RequestLimitGrant]: async (message, meta) => this.#answerAsk(message, meta)
    })
  }

  async start (): Promise<void> {
    this.#members.onChange(() => this.#discardMovedAccounts())
    this.#catalogue.onChange(() => this.#updateLimits())
    await this.#reportLoop.start()
  }

  async stop (): Promise<void> {
    await this.#reportLoop.stop()
  }

  /** Waits for a short time until every limit permits the request. */
  async acquire (request: LimitRequest): Promise<LimitResult> {
    const view = this.#catalogue.current()
    const limited: Array<[string, Limits | undefined]> = [
      [`workspace/${request.workspace}`, view?.workspace(request.workspace)?.limits],
      [`entry/${request.entry}`, view?.entry(request.entry)?.limits]
    ]
    const accounts: string[] = []
    for (const [account, limits] of limited) {
      if (limits === undefined || Object.keys(limits).length === 0) continue
      const answer = await this.#queueOf(account, limits).waitForPermit({
        requests: request.counted ? 0 : 1,
        tokens: request.counted ? 0 : request.expectedTokens
      }, request.deadline)
      if (!answer.granted) {
        this.release({ accounts })
        return { granted: false, refusal: notRun(RefusalReason.LimitReached, `the rate or concurrency limit of ${account.replace('/', ' ')} is reached`, Math.ceil(answer.retryAfterMs)) }
      }
      accounts.push(account)
    }
    return { granted: true, permit: { accounts } }
  }

  /** Releases a permit. */
  release (permit: LimitPermit): void {
    for (const account of permit.accounts) this.#queues.get(account)?.release()
  }

  #queueOf (account: string, limits: Limits): LimitQueue {
    const known = this.#queues.get(account)
    if (known !== undefined) return known
    const queue: LimitQueue = new LimitQueue({
      limits,
      hosts: () => this.#members.workers().length,
      askAccount: async (held, demands): Promise<LimitAnswer | undefined> => await this.#askOwner(account, queue.limits, held, demands)
    })
    this.#queues.set(account, queue)
    return queue
  }

  async #askOwner (account: string, limits: Limits, held: number, demands: readonly LimitDemand[]): Promise<LimitAnswer | undefined> {
    const workers = this.#members.workers()
    const owner = workers.find((host) => host.id === findOwner(`limits/${account}`, workers.map((item) => item.id)))
    if (owner === undefined) return undefined
    const message = { kind: PeerMessageKind.RequestLimitGrant as const, account, limits, held, demands: [...demands] }
    const answer = await this.#bus.send(owner, message, { deadline: deadlineAfter(ASK_TIMEOUT_MS) })
    return answer.ok ? answer.value : undefined
  }

  #answerAsk (message: RequestLimitGrant, meta: MessageMeta): LimitAnswer {
    const now = monotonicNow()
    let account = this.#accounts.get(message.account)
    if (account === undefined) {
      account = new LimitAccount(message.limits as Limits, this.#hostsChangedAt + TAKEOVER_PAUSE_MS)
      this.#accounts.set(message.account, account)
    }
    account.setLimits(scaleLimits(message.limits as Limits, this.#reachableShare()))
    return account.requestGrant(meta.from, message.held, message.demands, now)
  }

  /**
   * Returns the share of all hosts that this side of a partition has. A region
   * whose hosts are all dead counts as partitioned: it then has accounts of its
   * own, so each side grants only its share of the limits.
   */
  #reachableShare (): number {
    const members = this.#members.members().filter((member) => member.state !== HostState.Leaving)
    const alive = members.filter((member) => member.state !== HostState.Dead)
    const regions = new Set(alive.map((member) => member.host.region))
    const partitioned = members.filter((member) => !regions.has(member.host.region))
    return alive.length / Math.max(1, alive.length + partitioned.length)
  }

  /** Deletes accounts that moved to another host; if one returns, it starts empty, as another owner may have granted in between. */
  #discardMovedAccounts (): void {
    this.#hostsChangedAt = monotonicNow()
    const workers = this.#members.workers().map((host) => host.id)
    for (const account of [...this.#accounts.keys()]) {
      if (findOwner(`limits/${account}`, workers) !== this.#settings.self.id) this.#accounts.delete(account)
    }
  }

  #updateLimits (): void {
    const view = this.#catalogue.current()
    for (const [account, queue] of this.#queues) {
      const name = account.slice(account.indexOf('/') + 1)
      const declared = account.startsWith('entry/') ? view?.entry(name) : view?.workspace(name)
      if (declared !== undefined) queue.limits = declared.limits
    }
  }
}
