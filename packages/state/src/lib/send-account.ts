import { TokenBucket } from './token-bucket.js'
import type { BucketSettings } from './token-bucket.js'

/** How urgent a request to an endpoint is; less urgent ones get what the more urgent ones leave. */
export enum SendUrgency {
  /** A caller holds a connection open. */
  Caller = 0,
  /** A finished sample waits for its score. */
  Reward = 1,
  /** A sample of a batch. */
  Sample = 2
}

/** Longest time between the grant of a request and its first byte, in milliseconds. */
export const SEND_GRANT_LIFETIME_MS = 300

/** Number of hosts that may keep the account of an endpoint: the first one, and others that stand in while it doesn't answer. */
export const ACCOUNT_KEEPERS = 3

/**
 * Share of the limit that a stand-in grants. The first keeper may be granting the whole limit to
 * hosts that reach it, so all shares together stay below the half that an endpoint tolerates beyond its limit.
 */
const STAND_IN_SHARE = 0.125

/** Unused requests that an account saves, beyond one, in seconds of its rate: covers the time until the next host asks. */
const SAVED_S = 0.1

/** Lowest rate of an account, in requests per second: only an answer shows that the need of an endpoint has ended. */
const MIN_RATE = 0.1

/** Number of charged requests that an account may owe. */
const MAX_DEBT = 2

/** Time after its last request for which a host that was refused counts as waiting, in milliseconds: longer than the time until it asks again. */
const WAITING_MS = 1_500

const SECOND_MS = 1_000

/** The part of an endpoint's limit that a host may grant as the keeper of its account. */
export interface KeeperShare {
  /** Position of the host among the keepers, from 0; -1 if it isn't one. */
  readonly rank: number
  /** Hosts that the keeper knows to be in service. */
  readonly live: number
  /** Hosts that it lost recently; cut off from here, they may have a keeper of their own. */
  readonly lost: number
}

/** A host's request to send to an endpoint. */
export interface SendDemand {
  readonly host: string
  readonly urgency: SendUrgency
  /** Number of requests that it would send now. */
  readonly count: number
  /** Time for which they can wait, in milliseconds. */
  readonly waitMs: number
}

/** The reply to a {@link SendDemand}. */
export interface SendGrant {
  /** Number of requests that may be sent. */
  readonly granted: number
  /** Expected time until another one is granted, in milliseconds; 0 if all were. */
  readonly retryAfterMs: number
}

/** A host that was refused and waits. */
interface WaitingHost {
  readonly urgency: SendUrgency
  readonly until: number
}

/**
 * Returns the rate at which a keeper grants requests to an endpoint, per second; 0 if it may grant none.
 *
 * @param requestsPerSecond the limit that the endpoint names
 * @example
 * grantRate(2, { rank: 0, live: 8, lost: 0 }) // 2
 */
export function grantRate (requestsPerSecond: number, { rank, live, lost }: KeeperShare): number {
  if (rank < 0 || rank >= ACCOUNT_KEEPERS) return 0
  const reachable = live / Math.max(1, live + lost)
  return Math.max(MIN_RATE, requestsPerSecond) * reachable * (rank === 0 ? 1 : STAND_IN_SHARE)
}

/**
 * Account of the requests that all hosts send to one incarnation of an endpoint that names a limit.
 *
 * Invariants: within any time, it grants no more than its rate allows and one request, or a
 * tenth of a second of its rate beyond that; a request is granted whenever the account has one to spare
 * and nobody more urgent waits for it. An account starts empty, since an earlier keeper may
 * just have granted what it had saved.
 *
 * @example
 * const account = new SendAccount(2, now)
 * account.request({ host: 'h1', urgency: SendUrgency.Caller, count: 1, waitMs: 500 }, now + 500).granted // 1
 */
export class SendAccount {
  readonly #bucket: TokenBucket
  readonly #waiting = new Map<string, WaitingHost>()
  #rate: number

  /** @param rate requests per second */
  constructor (rate: number, now: number) {
    this.#rate = rate
    this.#bucket = new TokenBucket(bucketSettings(rate), now)
    this.#bucket.spend(now)
  }

  /** Changes the rate, in requests per second; what was granted still counts. */
  setRate (rate: number, now: number): void {
    if (rate === this.#rate) return
    this.#rate = rate
    this.#bucket.resize(bucketSettings(rate), now)
  }

  /** Grants as many requests of a host as the account has to spare. */
  request ({ host, urgency, count, waitMs }: SendDemand, now: number): SendGrant {
    this.#dropExpired(now)
    const reserved = this.#countWaiting(undefined, (other) => other < urgency)
    let granted = 0
    while (granted < count && this.#rate > 0 && this.#bucket.delay(now, reserved) === 0) {
      this.#bucket.spend(now)
      granted += 1
    }
    if (granted > 0) this.#waiting.delete(host)
    if (granted === count) return { granted, retryAfterMs: 0 }
    const ahead = this.#countWaiting(host, (other) => other <= urgency)
    const retryAfterMs = this.#rate > 0 ? this.#bucket.delay(now) + ahead * SECOND_MS / this.#rate : WAITING_MS
    if (retryAfterMs <= waitMs) this.#waiting.set(host, { urgency, until: now + WAITING_MS })
    return { granted, retryAfterMs }
  }

  /** Counts a request that is sent without a grant. */
  charge (now: number): void {
    if (this.#bucket.tokens(now) - 1 >= -MAX_DEBT) this.#bucket.spend(now)
  }

  /** Counts the hosts that wait, up to one of them, which keeps its place however often it asks. */
  #countWaiting (upTo: string | undefined, isCounted: (urgency: SendUrgency) => boolean): number {
    let count = 0
    for (const [host, { urgency }] of this.#waiting) {
      if (host === upTo) break
      if (isCounted(urgency)) count += 1
    }
    return count
  }

  #dropExpired (now: number): void {
    for (const [host, { until }] of this.#waiting) {
      if (until <= now) this.#waiting.delete(host)
    }
  }
}

function bucketSettings (rate: number): BucketSettings {
  return { ratePerSecond: rate, burst: 1 + rate * SAVED_S }
}
