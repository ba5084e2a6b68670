import test from 'ava'
import fc from 'fast-check'
import { WorkClass } from '../lib/catalogue.js'
import { BURST_REQUESTS, MIN_CLASS_SHARE, FairQueue } from '../lib/fair-queue.js'
import { slotRequest } from './slot-request.js'

const SEED = 20_261_204
const RUNS = 1_000

/** Tokens served in a run, in multiples of the longest request; long enough for shares to converge. */
const LONG_RUN = 150
const LONGEST = 100

const workspace = fc.record({ weight: fc.integer({ min: 1, max: 4 }), expected: fc.integer({ min: 1, max: LONGEST }), actual: fc.integer({ min: 1, max: LONGEST }) })

test(`the worst-served backlogged workspace gets at least 0.9 of its fair share of actual tokens (seed ${SEED})`, (t) => {
  fc.assert(fc.property(fc.array(workspace, { minLength: 2, maxLength: 8 }), (workspaces) => {
    const queue = new FairQueue()
    const served = workspaces.map(() => 0)
    let sequence = 0
    const push = (index: number): void => {
      const { weight, expected } = workspaces[index] as typeof workspaces[number]
      queue.push(slotRequest(`${index}/${sequence++}`, { workspace: `w${index}`, weight, expectedTokens: expected }))
    }
    workspaces.forEach((_, index) => push(index))
    const weights = workspaces.reduce((sum, item) => sum + item.weight, 0)
    for (let total = 0; total < LONG_RUN * LONGEST * workspaces.length;) {
      const request = queue.take(() => true)
      if (request === undefined) return false
      const index = Number(request.requestId.split('/')[0])
      const { actual } = workspaces[index] as typeof workspaces[number]
      queue.settleCost(request, actual)
      served[index] = (served[index] ?? 0) + actual
      total += actual
      push(index)
    }
    const total = served.reduce((sum, tokens) => sum + tokens, 0)
    return served.every((tokens, index) => tokens >= 0.9 * total * (workspaces[index]?.weight ?? 0) / weights)
  }), { seed: SEED, numRuns: RUNS })
  t.pass()
})

test(`after being idle, a workspace gets no more than its share plus one burst (seed ${SEED})`, (t) => {
  fc.assert(fc.property(fc.integer({ min: 1, max: 500 }), fc.integer({ min: 20, max: 100 }), (before, after) => {
    const queue = new FairQueue()
    queue.push(slotRequest('idle/first', { workspace: 'idle' }))
    queue.take(() => true)
    for (let index = 0; index < before + after; index++) queue.push(slotRequest(`busy/${index}`, { workspace: 'busy' }))
    for (let index = 0; index < before; index++) queue.take(() => true)
    for (let index = 0; index < after; index++) queue.push(slotRequest(`idle/${index}`, { workspace: 'idle' }))
    let idle = 0
    for (let index = 0; index < after; index++) idle += queue.take(() => true)?.workspace === 'idle' ? 1 : 0
    return idle >= after / 2 - 1 && idle <= after / 2 + BURST_REQUESTS / 2 + 1
  }), { seed: SEED, numRuns: RUNS })
  t.pass()
})

test(`each class with waiting requests gets its minimum share, and the highest class gets the rest (seed ${SEED})`, (t) => {
  fc.assert(fc.property(fc.integer({ min: 1, max: LONGEST }), fc.integer({ min: 1, max: LONGEST }), (high, low) => {
    const queue = new FairQueue()
    const tokens = new Map<WorkClass, number>()
    let sequence = 0
    const push = (workClass: WorkClass, expectedTokens: number): void => queue.push(slotRequest(`${sequence++}`, { class: workClass, expectedTokens }))
    for (let index = 0; index < 4; index++) {
      push(WorkClass.Interactive, high)
      push(WorkClass.Training, low)
    }
    let total = 0
    while (total < LONG_RUN * LONGEST) {
      const request = queue.take(() => true)
      if (request === undefined) return false
      tokens.set(request.class, (tokens.get(request.class) ?? 0) + request.expectedTokens)
      total += request.expectedTokens
      push(request.class, request.expectedTokens)
    }
    const share = (tokens.get(WorkClass.Training) ?? 0) / total
    return share >= 0.9 * MIN_CLASS_SHARE && share <= 1.1 * MIN_CLASS_SHARE
  }), { seed: SEED, numRuns: RUNS })
  t.pass()
})

test(`requests of one workspace and lane are taken in order of arrival, whichever are removed (seed ${SEED})`, (t) => {
  fc.assert(fc.property(fc.array(fc.tuple(fc.boolean(), fc.nat(60)), { maxLength: 120, size: 'max' }), (steps) => {
    const queue = new FairQueue()
    const expected: string[] = []
    steps.forEach(([adds, position], index) => {
      if (adds) {
        queue.push(slotRequest(`${index}`, {}))
        expected.push(`${index}`)
        return
      }
      const [removed] = expected.splice(position % Math.max(expected.length, 1), 1)
      if (removed !== undefined) queue.remove(removed)
    })
    const taken: string[] = []
    for (let next = queue.take(() => true); next !== undefined; next = queue.take(() => true)) taken.push(next.requestId)
    return taken.join() === expected.join() && queue.size === 0 && queue.expectedTokens === 0
  }), { seed: SEED, numRuns: RUNS })
  t.pass()
})
