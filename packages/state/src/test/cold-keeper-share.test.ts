import test from 'ava'
import fc from 'fast-check'
import { COLD_SETTLE_MS, ColdKeeperShare, EndpointColdness, rankOwners, SEND_GRANT_LIFETIME_MS, SendAccount, SendUrgency } from '@cyclamenthread/state'

const SEED = 20261206
const RUNS = 300

/** What a cold endpoint tolerates in any second, beside the declared rate. */
const TOLERATED_FACTOR = 1.5
const TOLERATED_REQUESTS = 5

/** Span of grants whose requests may all be sent in one second: each may be sent any time before its grant ends. */
const SPAN_MS = 1_000 + SEND_GRANT_LIFETIME_MS

/** Length of a simulation, in milliseconds. */
const LENGTH_MS = 40_000

/** Longest time until a host asks again, in milliseconds. */
const MAX_RETRY_MS = 1_000

/** Earliest time after a loss at which a host notices it, in milliseconds. */
const MIN_NOTICE_MS = 1_500

const SUBJECT = 'sends/e1'

/** What separates hosts in a simulation; all times in milliseconds. */
interface Plan {
  /** Requests per second that the service declares for cold endpoints. */
  readonly rate: number
  /** Side of each host. */
  readonly sides: readonly boolean[]
  readonly cutAt: number
  readonly healedAt: number
  /** When each host notices the cut and the heal, after the earliest time. */
  readonly noticedMs: readonly number[]
  /** Rank of the keeper that crashes, when it does and for how long; it forgets what it granted. */
  readonly crash: { readonly rank: number, readonly at: number, readonly forMs: number }
  /** Time between two steps. */
  readonly steps: readonly number[]
  /** Number of keepers that a host misses when it asks, step by step. */
  readonly missed: readonly number[]
}

/** One host: its view of the others, and the account that it keeps. */
class SimulatedHost {
  readonly id: string
  readonly index: number
  share = new ColdKeeperShare(-COLD_SETTLE_MS)
  account: SendAccount | undefined
  workers: readonly string[] = []

  constructor (index: number) {
    this.index = index
    this.id = `h${index}`
  }

  restart (now: number): void {
    this.share = new ColdKeeperShare(now)
    this.account = undefined
  }

  see (ids: readonly string[], isLost: (index: number) => boolean, now: number): void {
    for (const [index, id] of ids.entries()) this.share.recordHost(id, isLost(index), now)
    this.workers = ids.filter((_, index) => !isLost(index))
  }

  request (host: string, limit: number, now: number): { readonly granted: number, readonly retryAfterMs: number } {
    const rate = this.share.rateOf(limit, { selfId: this.id, subject: SUBJECT, workers: this.workers }, now)
    this.account ??= new SendAccount(rate, now)
    this.account.setRate(rate, now)
    return this.account.request({ host, urgency: SendUrgency.Sample, count: 3, waitMs: 60_000 }, now)
  }
}

function limitOf (rate: number): number {
  const coldness = new EndpointColdness()
  coldness.setBounds({ durationMs: LENGTH_MS, requestsPerSecond: rate })
  coldness.recordLift(0)
  return coldness.limitAt(0)?.requestsPerSecond ?? 0
}

/** Lets all hosts send whenever they may, and returns when their requests were granted. */
function simulate ({ rate, sides, cutAt, healedAt, noticedMs, crash, steps, missed }: Plan): number[] {
  const limit = limitOf(rate)
  const hosts = sides.map((_, index) => new SimulatedHost(index))
  const ids = hosts.map(({ id }) => id)
  const crashed = hosts.find(({ id }) => id === rankOwners(SUBJECT, ids)[crash.rank % ids.length])
  const isDown = (host: SimulatedHost, now: number): boolean => host === crashed && now >= crash.at && now < crash.at + crash.forMs
  const reaches = (from: SimulatedHost, to: SimulatedHost, now: number): boolean =>
    !isDown(to, now) && (now < cutAt || now >= healedAt || sides[from.index] === sides[to.index])
  const noticeMs = (index: number): number => MIN_NOTICE_MS + (noticedMs[index % noticedMs.length] ?? 0)
  const grantedAt: number[] = []
  const askAt = hosts.map(() => 0)
  let step = 0
  let isRestarted = false
  for (let now = 0; now < LENGTH_MS; now += steps[step % steps.length] ?? 1) {
    step += 1
    if (crashed !== undefined && !isRestarted && now >= crash.at + crash.forMs) {
      isRestarted = true
      crashed.restart(now)
    }
    for (const host of hosts) {
      if (isDown(host, now)) continue
      // What a host notices is what was so a while ago.
      const then = now - noticeMs(host.index)
      host.see(ids, (index) => {
        const other = hosts[index]
        return other !== undefined && other !== host && !(host === crashed && isRestarted && then < crash.at + crash.forMs) && !reaches(host, other, then)
      }, now)
    }
    for (const host of hosts) {
      if (isDown(host, now) || (askAt[host.index] ?? 0) > now) continue
      const keepers = rankOwners(SUBJECT, host.workers).slice(0, 3).flatMap((id) => hosts.find((one) => one.id === id) ?? [])
      const keeper = keepers.slice((missed[(step + host.index) % missed.length] ?? 0)).find((one) => reaches(host, one, now))
      const { granted, retryAfterMs } = keeper?.request(host.id, limit, now) ?? { granted: 0, retryAfterMs: MAX_RETRY_MS }
      for (let index = 0; index < granted; index += 1) grantedAt.push(now)
      askAt[host.index] = now + Math.min(retryAfterMs, MAX_RETRY_MS)
    }
  }
  return grantedAt
}

function busiestSpan (grantedAt: readonly number[]): number {
  const sorted = [...grantedAt].sort((a, b) => a - b)
  let most = 0
  let first = 0
  for (const [index, at] of sorted.entries()) {
    while ((sorted[first] ?? 0) <= at - SPAN_MS) first += 1
    most = Math.max(most, index - first + 1)
  }
  return most
}

const plans = fc.record({
  rate: fc.oneof(fc.constant(7.7), fc.double({ min: 0.5, max: 40, noNaN: true })),
  sides: fc.array(fc.boolean(), { minLength: 4, maxLength: 12 }),
  cutAt: fc.integer({ min: 2_000, max: 12_000 }),
  healedAt: fc.oneof(fc.integer({ min: 12_000, max: 30_000 }), fc.constant(LENGTH_MS)),
  noticedMs: fc.array(fc.integer({ min: 0, max: COLD_SETTLE_MS - 500 }), { minLength: 5, maxLength: 14 }),
  crash: fc.record({ rank: fc.integer({ min: 0, max: 2 }), at: fc.oneof(fc.integer({ min: 0, max: 30_000 }), fc.constant(LENGTH_MS)), forMs: fc.integer({ min: 100, max: 9_000 }) }),
  steps: fc.array(fc.integer({ min: 5, max: 60 }), { minLength: 7, maxLength: 40 }),
  missed: fc.oneof(fc.constant([0]), fc.array(fc.integer({ min: 0, max: 2 }), { minLength: 5, maxLength: 20 }))
})

// Guards against a cold endpoint that crashes since both sides of a partition, or a keeper and its successor, grant its whole limit.
test(`in no span of a second a cold endpoint gets more than it tolerates, with a partition and the crash of a keeper (seed ${SEED}, ${RUNS} runs)`, (t) => {
  fc.assert(fc.property(plans, (plan) => busiestSpan(simulate(plan)) < plan.rate * TOLERATED_FACTOR + TOLERATED_REQUESTS), { seed: SEED, numRuns: RUNS })
  t.pass()
})

// Guards against cold endpoints that stay idle although work waits.
test('without a fault, a cold endpoint gets most of its declared rate', (t) => {
  const none = { rate: 7.7, sides: [true, true, true, true], cutAt: LENGTH_MS, healedAt: LENGTH_MS, noticedMs: [0], crash: { rank: 0, at: LENGTH_MS, forMs: 100 }, steps: [20], missed: [0] }
  const sent = simulate(none).length
  t.true(sent >= 7.7 * LENGTH_MS / 1_000 * 0.75, `${sent} requests`)
})

test('a host takes the place of a lost keeper only once every host has noticed the loss', (t) => {
  const ids = rankOwners(SUBJECT, ['h1', 'h2', 'h3', 'h4'])
  const [first = '', second = '', third = ''] = ids
  const share = new ColdKeeperShare(-COLD_SETTLE_MS)
  const rateAt = (selfId: string, workers: readonly string[], now: number): number => share.rateOf(8, { selfId, subject: SUBJECT, workers }, now)
  t.is(rateAt(second, ids, 0), 1)
  t.is(rateAt(third, ids, 0), 0)
  share.recordHost(first, true, 0)
  const rest = ids.slice(1)
  t.is(rateAt(second, rest, COLD_SETTLE_MS - 1), 0.75)
  t.is(rateAt(second, rest, COLD_SETTLE_MS), 6)
  share.recordHost(first, false, 20_000)
  t.is(rateAt(first, ids, 20_000 + COLD_SETTLE_MS - 1), 6)
  t.is(rateAt(first, ids, 20_000 + COLD_SETTLE_MS), 8)
})

test('a host that has just started grants what a stand-in does', (t) => {
  const [first = ''] = rankOwners(SUBJECT, ['h1', 'h2'])
  const share = new ColdKeeperShare(0)
  const query = { selfId: first, subject: SUBJECT, workers: ['h1', 'h2'] }
  t.is(share.rateOf(8, query, COLD_SETTLE_MS - 1), 1)
  t.is(share.rateOf(8, query, COLD_SETTLE_MS), 8)
})
