import test from 'ava'
import fc from 'fast-check'
import { GRANT_LIFETIME_MS, LimitAccount } from '../lib/limit-account.js'

const SEED = 20_261_204
const RUNS = 1_000
const SECOND_MS = 1_000

/** Use of a grant, at any time within its lifetime. */
interface GrantUse {
  readonly at: number
  readonly tokens: number
}

/** Maximum amount used within any second. */
function maxInAnySecond (uses: readonly GrantUse[], amount: (use: GrantUse) => number): number {
  const sorted = [...uses].sort((a, b) => a.at - b.at)
  let worst = 0
  let sum = 0
  let first = 0
  for (const use of sorted) {
    sum += amount(use)
    while (use.at - (sorted[first]?.at ?? 0) >= SECOND_MS) {
      sum -= amount(sorted[first] as GrantUse)
      first += 1
    }
    worst = Math.max(worst, sum)
  }
  return worst
}

const anyRate = fc.record({ requests: fc.integer({ min: 1, max: 100 }), tokens: fc.integer({ min: 100, max: 2_000 }) })
const anyAsk = fc.record({ host: fc.constantFrom('a', 'b', 'c'), afterMs: fc.integer({ min: 0, max: 60 }), count: fc.integer({ min: 0, max: 20 }), tokens: fc.integer({ min: 1, max: 100 }), lateMs: fc.integer({ min: 0, max: GRANT_LIFETIME_MS }) })

test(`the rates are not exceeded within any second, however late grants are used (seed ${SEED})`, (t) => {
  fc.assert(fc.property(anyRate, fc.array(anyAsk, { maxLength: 100, size: 'max' }), (rate, asks) => {
    const account = new LimitAccount({ requestsPerSecond: rate.requests, tokensPerSecond: rate.tokens }, 0)
    const uses: GrantUse[] = []
    let now = 0
    for (const ask of asks) {
      now += ask.afterMs
      const demands = Array.from({ length: ask.count }, () => ({ requests: 1, tokens: ask.tokens }))
      const { granted } = account.requestGrant(ask.host, 0, demands, now)
      for (let index = 0; index < granted; index++) uses.push({ at: now + ask.lateMs, tokens: ask.tokens })
    }
    return maxInAnySecond(uses, () => 1) <= rate.requests && maxInAnySecond(uses, (use) => use.tokens) <= rate.tokens
  }), { seed: SEED, numRuns: RUNS })
  t.pass()
})

test(`at least 95% of the rate is granted under sufficient demand (seed ${SEED})`, (t) => {
  fc.assert(fc.property(fc.integer({ min: 1, max: 200 }), fc.integer({ min: 3, max: 10 }), (rate, stepMs) => {
    const account = new LimitAccount({ requestsPerSecond: rate }, 0)
    const seconds = 10
    let granted = 0
    for (let now = 0; now < seconds * SECOND_MS; now += stepMs) {
      granted += account.requestGrant('a', 0, Array.from({ length: 5 }, () => ({ requests: 1, tokens: 1 })), now).granted
    }
    return granted >= 0.95 * rate * seconds
  }), { seed: SEED, numRuns: RUNS })
  t.pass()
})

test(`the running requests of all hosts together stay within the concurrency (seed ${SEED})`, (t) => {
  fc.assert(fc.property(fc.integer({ min: 1, max: 20 }), fc.array(fc.tuple(fc.constantFrom('a', 'b', 'c'), fc.nat(6), fc.boolean()), { maxLength: 80, size: 'max' }), (concurrency, steps) => {
    const account = new LimitAccount({ concurrency }, 0)
    const held = new Map<string, number>()
    for (const [host, count, ends] of steps) {
      const own = held.get(host) ?? 0
      if (ends) held.set(host, Math.max(0, own - count))
      const demands = Array.from({ length: ends ? 0 : count }, () => ({ requests: 1, tokens: 1 }))
      const { granted } = account.requestGrant(host, held.get(host) ?? 0, demands, 0)
      held.set(host, (held.get(host) ?? 0) + granted)
      if ([...held.values()].reduce((sum, one) => sum + one, 0) > concurrency) return false
    }
    return true
  }), { seed: SEED, numRuns: RUNS })
  t.pass()
})

test('an account grants nothing until the grants of a previous owner have expired', (t) => {
  const account = new LimitAccount({ requestsPerSecond: 10 }, 500)
  const demands = [{ requests: 1, tokens: 1 }]
  t.deepEqual(account.requestGrant('a', 0, demands, 200), { granted: 0, retryAfterMs: 300 })
  t.deepEqual(account.requestGrant('a', 0, demands, 500), { granted: 1, retryAfterMs: 0 })
})
