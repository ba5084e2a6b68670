import { ACCOUNT_KEEPERS, ColdKeeperShare, grantRate, HostState, rankOwners, SendAccount } from '@cyclamenthread/state'
import { monotonicNow } from '@cyclamenthread/transport'
import type { Host } from '@cyclamenthread/state'
import type { RequestSends, SendReply } from '@cyclamenthread/protocol'
import type { MemberView } from './member-task.js'

/** Time for which a lost host may be cut off rather than gone, in milliseconds: longer than most network partitions. */
const LOST_MS = 30_000

/** Time after which an account that nobody used is deleted, in milliseconds. */
const ACCOUNT_LIFETIME_MS = 60_000

/** The incarnation of an endpoint that an account is for. */
export interface AccountSubject {
  readonly endpointId: string
  readonly bornAt: number
}

/** An account, and what its keeper knows about the endpoint's limit. */
interface KeptAccount {
  readonly account: SendAccount
  /** The limit that the endpoint named; Infinity if no host has heard of one. */
  requestsPerSecond: number
  /** Monotonic milliseconds at which the endpoint named the limit. */
  namedAt: number
  /** Monotonic milliseconds at which a request was sent whose answer named none. */
  liftedAt: number
  /** The limit of a cold endpoint, and until when it applies, in monotonic milliseconds. */
  cold: { readonly requestsPerSecond: number, readonly until: number } | undefined
  usedAt: number
}

type KeptLimits = Pick<KeptAccount, 'requestsPerSecond' | 'namedAt' | 'liftedAt' | 'cold'>

/**
 * Returns the hosts that may keep the account of an endpoint, the one to ask first at the front.
 *
 * @example
 * accountKeepers('e1', members.workers())[0]
 */
export function accountKeepers (endpointId: string, workers: readonly Host[]): Host[] {
  const byId = new Map(workers.map((host) => [host.id, host]))
  return rankOwners(keeperSubject(endpointId), [...byId.keys()]).slice(0, ACCOUNT_KEEPERS).flatMap((id) => byId.get(id) ?? [])
}

/** The accounts of limited endpoints that this host keeps for all hosts. */
export class SendAccountKeeper {
  readonly #selfId: string
  readonly #members: Pick<MemberView, 'workers' | 'members' | 'onChange'>
  readonly #accounts = new Map<string, KeptAccount>()
  /** When each dead host was first seen dead, in monotonic milliseconds. */
  readonly #lostAt = new Map<string, number>()
  readonly #coldShare = new ColdKeeperShare(monotonicNow())

  constructor (selfId: string, members: Pick<MemberView, 'workers' | 'members' | 'onChange'>) {
    this.#selfId = selfId
    this.#members = members
    members.onChange(() => this.#recordLosses())
  }

  /** Decides on a host's request to send to an endpoint. */
  request (host: string, message: RequestSends): SendReply {
    const now = monotonicNow()
    const kept = this.#accountOf(message, now)
    const namedAt = now - message.ageMs
    if (message.cold !== undefined) kept.cold = { requestsPerSecond: message.cold.requestsPerSecond, until: now + message.cold.leftMs }
    if (isNamed(message)) {
      if (kept.liftedAt > namedAt) return { granted: 0, retryAfterMs: 0, lifted: true }
      if (namedAt > kept.namedAt) {
        kept.requestsPerSecond = message.requestsPerSecond
        kept.namedAt = namedAt
      }
    }
    kept.account.setRate(this.#rateOf(message.endpointId, kept, now), now)
    return { ...kept.account.request({ ...message, host }, now), lifted: false }
  }

  /** Counts a request that was sent without a grant. */
  charge (subject: AccountSubject): void {
    const now = monotonicNow()
    this.#accounts.get(keyOf(subject))?.account.charge(now)
  }

  /**
   * Records that an endpoint named no limit.
   *
   * @param ageMs time since the request was sent to which it answered so, in milliseconds
   */
  recordLifted (subject: AccountSubject, ageMs: number): void {
    const kept = this.#accounts.get(keyOf(subject))
    if (kept !== undefined) kept.liftedAt = Math.max(kept.liftedAt, monotonicNow() - ageMs)
  }

  #accountOf (message: RequestSends, now: number): KeptAccount {
    const key = keyOf(message)
    const known = this.#accounts.get(key)
    if (known !== undefined) {
      known.usedAt = now
      return known
    }
    for (const [other, { usedAt }] of this.#accounts) {
      if (now - usedAt > ACCOUNT_LIFETIME_MS) this.#accounts.delete(other)
    }
    const limits = {
      requestsPerSecond: isNamed(message) ? message.requestsPerSecond : Infinity,
      liftedAt: -Infinity,
      namedAt: -Infinity,
      cold: message.cold === undefined ? undefined : { requestsPerSecond: message.cold.requestsPerSecond, until: now + message.cold.leftMs }
    }
    const account = new SendAccount(this.#rateOf(message.endpointId, limits, now), now)
    const kept: KeptAccount = { account, ...limits, usedAt: now }
    this.#accounts.set(key, kept)
    return kept
  }

  /** Returns the smaller rate of the limits in force. */
  #rateOf (endpointId: string, { requestsPerSecond, namedAt, liftedAt, cold }: KeptLimits, now: number): number {
    const namedRate = requestsPerSecond === Infinity || liftedAt > namedAt ? Infinity : this.#namedRateOf(endpointId, requestsPerSecond, now)
    // A request may arrive when the endpoint has just become warm; without a named limit, it is still one for a cold endpoint.
    if (cold === undefined || (now >= cold.until && namedRate !== Infinity)) return namedRate
    const query = { selfId: this.#selfId, subject: keeperSubject(endpointId), workers: this.#members.workers().map(({ id }) => id) }
    return Math.min(namedRate, this.#coldShare.rateOf(cold.requestsPerSecond, query, now))
  }

  #namedRateOf (endpointId: string, requestsPerSecond: number, now: number): number {
    const workers = this.#members.workers()
    const rank = accountKeepers(endpointId, workers).findIndex(({ id }) => id === this.#selfId)
    const lost = [...this.#lostAt.values()].filter((at) => now - at < LOST_MS).length
    return grantRate(requestsPerSecond, { rank, live: workers.length, lost })
  }

  #recordLosses (): void {
    const now = monotonicNow()
    for (const { host, state } of this.#members.members()) {
      this.#coldShare.recordHost(host.id, state === HostState.Dead, now)
      if (state !== HostState.Dead) this.#lostAt.delete(host.id)
      else if (!this.#lostAt.has(host.id)) this.#lostAt.set(host.id, now)
    }
  }
}

/** Whether a request is for the limit that the endpoint named, and not for the smaller one of a cold endpoint. */
function isNamed ({ requestsPerSecond, cold }: RequestSends): boolean {
  return cold === undefined || requestsPerSecond < cold.requestsPerSecond
}

/** Returns the name under which the keepers of an endpoint's account are ranked. */
function keeperSubject (endpointId: string): string {
  return `sends/${endpointId}`
}

function keyOf ({ endpointId, bornAt }: AccountSubject): string {
  return `${endpointId}@${bornAt}`
}
