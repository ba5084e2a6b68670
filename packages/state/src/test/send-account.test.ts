import test from 'ava'
import fc from 'fast-check'
import { ACCOUNT_KEEPERS, grantRate, SEND_GRANT_LIFETIME_MS, SendAccount, SendUrgency } from '@cyclamenthread/state'

const SEED = 20261204
const RUNS = 1_000

/** Time over which the requests to an endpoint are counted, in milliseconds, and what it tolerates in that time. */
const WINDOW_MS = 4_000
const TOLERATED_FACTOR = 1.5
const TOLERATED_REQUESTS = 5

/** Length of a simulation, in milliseconds. */
const LENGTH_MS = 20_000

/** Longest time until a host asks again, in milliseconds. */
const MAX_RETRY_MS = 1_000

/** The keepers of an endpoint's account, some of which are lost and come back without what they had counted. */
class Keepers {
  readonly #limit: number
  readonly #hosts: number
  readonly #accounts = new Map<number, SendAccount>()
  readonly #deadUntil = new Map<number, number>()
  /** Since when the other hosts know of a loss. */
  readonly #knownAt = new Map<number, number>()

  constructor (limit: number, hosts: number) {
    this.#limit = limit
    this.#hosts = hosts
  }

  /** Loses a keeper; the hosts learn of it later than its requests fail. */
  lose (keeper: number, at: number, forMs: number, noticedMs: number): void {
    this.#accounts.delete(keeper)
    this.#deadUntil.set(keeper, at + forMs)
    this.#knownAt.set(keeper, at + noticedMs)
  }

  /** Asks the first keeper that answers; a host that doesn't reach the first one for another reason asks the next. */
  ask (host: string, reaches: (keeper: number) => boolean, now: number): { readonly granted: number, readonly retryAfterMs: number } {
    const listed = Array.from({ length: this.#hosts }, (_, index) => index).filter((keeper) => !this.#isKnownDead(keeper, now))
    for (const [rank, keeper] of listed.slice(0, ACCOUNT_KEEPERS).entries()) {
      if (now < (this.#deadUntil.get(keeper) ?? 0) || !reaches(rank)) continue
      const rate = grantRate(this.#limit, { rank, live: listed.length, lost: this.#hosts - listed.length })
      const account = this.#accounts.get(keeper) ?? new SendAccount(rate, now)
      this.#accounts.set(keeper, account)
      account.setRate(rate, now)
      return account.request({ host, urgency: SendUrgency.Sample, count: 3, waitMs: 60_000 }, now)
    }
    return { granted: 0, retryAfterMs: MAX_RETRY_MS }
  }

  #isKnownDead (keeper: number, now: number): boolean {
    return now < (this.#deadUntil.get(keeper) ?? 0) && now >= (this.#knownAt.get(keeper) ?? 0)
  }
}

function busiestWindow (sentAt: readonly number[]): number {
  const sorted = [...sentAt].sort((a, b) => a - b)
  let most = 0
  let first = 0
  for (const [index, at] of sorted.entries()) {
    while ((sorted[first] ?? 0) <= at - WINDOW_MS) first += 1
    most = Math.max(most, index - first + 1)
  }
  return most
}

/** Lets hosts ask whenever they may, and returns when their requests were sent. */
function simulate (hosts: number, steps: readonly number[], keepers: Keepers, reaches: (step: number) => (keeper: number) => boolean, onStep: (now: number) => void): number[] {
  const sentAt: number[] = []
  const askAt = Array.from({ length: hosts }, () => 0)
  let step = 0
  for (let now = 0; now < LENGTH_MS; now += steps[step % steps.length] ?? 1) {
    step += 1
    onStep(now)
    for (const [host, at] of askAt.entries()) {
      if (at > now) continue
      const { granted, retryAfterMs } = keepers.ask(`h${host}`, reaches(step + host), now)
      for (let index = 0; index < granted; index += 1) sentAt.push(now + ((steps[(step + index + host) % steps.length] ?? 0) * 7) % SEND_GRANT_LIFETIME_MS)
      askAt[host] = now + Math.min(retryAfterMs, MAX_RETRY_MS)
    }
  }
  return sentAt
}

const limits = fc.double({ min: 0.2, max: 40, noNaN: true })
const steps = fc.array(fc.integer({ min: 1, max: 60 }), { minLength: 7, maxLength: 40 })

// Guards against a limit that is exceeded because a keeper forgets what it granted, or others grant beside it.
test(`an endpoint gets no more than it tolerates, whichever keepers are lost and whichever hosts don't reach them (seed ${SEED}, ${RUNS} runs)`, (t) => {
  const losses = fc.array(fc.record({ at: fc.integer({ min: 0, max: LENGTH_MS }), keeper: fc.integer({ min: 0, max: 3 }), forMs: fc.integer({ min: 50, max: 9_000 }), noticedMs: fc.integer({ min: 0, max: 6_000 }) }), { maxLength: 6 })
  const misses = fc.array(fc.integer({ min: 0, max: ACCOUNT_KEEPERS }), { minLength: 5, maxLength: 20 })
  fc.assert(fc.property(limits, fc.integer({ min: 4, max: 40 }), steps, losses, misses, (limit, hosts, pauses, lost, missed) => {
    const keepers = new Keepers(limit, hosts)
    const open = [...lost].sort((a, b) => b.at - a.at)
    const sentAt = simulate(hosts, pauses, keepers, (step) => (keeper) => keeper >= (missed[step % missed.length] ?? 0), (now) => {
      for (let next = open.at(-1); next !== undefined && next.at <= now; next = open.at(-1)) {
        keepers.lose(next.keeper, now, next.forMs, next.noticedMs)
        open.pop()
      }
    })
    const most = busiestWindow(sentAt)
    return most <= limit * TOLERATED_FACTOR * WINDOW_MS / 1_000 + TOLERATED_REQUESTS
  }), { seed: SEED, numRuns: RUNS })
  t.pass()
})

// Guards against an endpoint that stays idle although work waits and its limit allows it.
test(`while work waits, an endpoint gets what its limit allows, however many hosts share it (seed ${SEED}, ${RUNS / 5} runs)`, (t) => {
  fc.assert(fc.property(limits, fc.integer({ min: 1, max: 165 }), steps, (limit, hosts, pauses) => {
    const sentAt = simulate(hosts, pauses, new Keepers(limit, hosts), () => () => true, () => {})
    return sentAt.length >= limit * LENGTH_MS / 1_000 * 0.9 - 2
  }), { seed: SEED, numRuns: RUNS / 5 })
  t.pass()
})

test('less urgent requests get what the hosts with more urgent ones leave', (t) => {
  const account = new SendAccount(1, 0)
  t.is(account.request({ host: 'desk', urgency: SendUrgency.Caller, count: 1, waitMs: 2_000 }, 500).granted, 0)
  t.deepEqual(account.request({ host: 'owner', urgency: SendUrgency.Sample, count: 1, waitMs: 60_000 }, 1_000), { granted: 0, retryAfterMs: 1_000 })
  t.is(account.request({ host: 'desk', urgency: SendUrgency.Caller, count: 1, waitMs: 2_000 }, 1_000).granted, 1)
  t.is(account.request({ host: 'owner', urgency: SendUrgency.Sample, count: 1, waitMs: 60_000 }, 2_000).granted, 1)
})

test('requests that are sent without a grant delay the next grants, up to a bounded debt', (t) => {
  const account = new SendAccount(1, 0)
  for (let index = 0; index < 10; index += 1) account.charge(0)
  t.is(account.request({ host: 'h1', urgency: SendUrgency.Caller, count: 1, waitMs: 0 }, 2_800).granted, 0)
  t.is(account.request({ host: 'h1', urgency: SendUrgency.Caller, count: 1, waitMs: 0 }, 2_950).granted, 1)
})

test('a keeper grants in proportion to the hosts that it reaches, and one that is not listed grants nothing', (t) => {
  t.is(grantRate(8, { rank: 0, live: 4, lost: 4 }), 4)
  t.is(grantRate(8, { rank: 1, live: 8, lost: 0 }), 1)
  t.is(grantRate(8, { rank: -1, live: 8, lost: 0 }), 0)
  t.true(grantRate(0, { rank: 0, live: 8, lost: 0 }) > 0)
})
