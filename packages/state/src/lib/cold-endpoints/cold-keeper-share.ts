import { rankOwners } from '../rendezvous.js'
import { grantRate } from '../send-account.js'

/**
 * Longest time from the moment at which the first host notices that another one is lost or back until the last
 * host does, in milliseconds: all hosts wait as long from a suspicion until they take a host for dead, and they
 * learn of the suspicion within 4 s of each other.
 */
export const COLD_SETTLE_MS = 5_000

/** Time for which a lost host may be cut off rather than gone, in milliseconds; a host that is gone costs its part of the rate for as long. */
const LOST_MS = 600_000

/** Number of keepers that grant requests to a cold endpoint: each of them may save one request, and only 5 beyond the rate are tolerated in a second. */
const COLD_KEEPERS = 2

/** What a keeper knows about its account's endpoint and the hosts in service. */
export interface ColdKeeperQuery {
  readonly selfId: string
  /** Name under which the keepers of the account are ranked. */
  readonly subject: string
  /** Ids of the hosts in service, as the keeper knows them. */
  readonly workers: readonly string[]
}

/**
 * The part of a cold endpoint's limit that a keeper may grant. After a network partition, each side has a first
 * keeper, and one side notices earlier than the other; a span of one second must not get both full rates.
 *
 * Invariants: a host takes the place of a lost one, and counts one that is back, only after every other host has
 * noticed the same; until then it grants what it granted before at most. A host that has just started grants
 * what a stand-in does, since the others may not know it yet.
 *
 * @example
 * const share = new ColdKeeperShare(now)
 * share.recordHost('h2', true, now)
 * share.rateOf(8, { selfId: 'h1', subject: 'sends/e1', workers: ['h1', 'h3'] }, now)
 */
export class ColdKeeperShare {
  readonly #startedAt: number
  readonly #lostAt = new Map<string, number>()
  readonly #returnedAt = new Map<string, number>()

  /** @param now monotonic time of the host's start, in milliseconds */
  constructor (now: number) {
    this.#startedAt = now
  }

  /** Records whether another host is dead in the view of this one. */
  recordHost (id: string, isDead: boolean, now: number): void {
    if (isDead) {
      this.#returnedAt.delete(id)
      if (!this.#lostAt.has(id)) this.#lostAt.set(id, now)
    } else if (this.#lostAt.delete(id)) this.#returnedAt.set(id, now)
  }

  /** Returns the rate at which the host grants requests, per second; 0 if it may grant none. */
  rateOf (requestsPerSecond: number, { selfId, subject, workers }: ColdKeeperQuery, now: number): number {
    const lost = idsSince(this.#lostAt, now - LOST_MS)
    const recentlyLost = idsSince(this.#lostAt, now - COLD_SETTLE_MS)
    const recentlyBack = idsSince(this.#returnedAt, now - COLD_SETTLE_MS)
    const rank = rankOwners(subject, [...new Set([...workers, ...recentlyLost])]).indexOf(selfId)
    if (rank >= COLD_KEEPERS) return 0
    const isNew = now < this.#startedAt + COLD_SETTLE_MS
    const live = workers.filter((id) => !recentlyBack.has(id)).length
    return grantRate(requestsPerSecond, { rank: isNew && rank === 0 ? 1 : rank, live, lost: lost.size + workers.length - live })
  }
}

function idsSince (times: ReadonlyMap<string, number>, since: number): Set<string> {
  return new Set([...times].flatMap(([id, at]) => at > since ? [id] : []))
}
