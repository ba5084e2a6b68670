import test from 'ava'
import fc from 'fast-check'
import { failure, success } from '@cyclamenthread/state'
import { FleetOrderKind, intentsKey, PlatformFailure } from '@cyclamenthread/protocol'
import { MemoryStore, seededRandom } from '@cyclamenthread/standins'
import { CapacityOrders } from '../lib/capacity-orders.js'
import type { Outcome } from '@cyclamenthread/state'
import type { FleetOrder } from '@cyclamenthread/protocol'

const SEED = 20_261_208
const RUNS = 1_000
const LEADERS = 2

/** What happens next in a run. */
enum Move {
  Send = 'send',
  Settle = 'settle',
  /** The lease passes to the other leader, whatever is under way. */
  Pass = 'pass',
  Wait = 'wait'
}

/** How the platform answers. */
enum Answer {
  Taken = 'taken',
  Refused = 'refused',
  LostAfter = 'lost-after',
  LostBefore = 'lost-before'
}

const runs = fc.record({
  seed: fc.integer(),
  moves: fc.array(fc.tuple(fc.constantFrom(...Object.values(Move)), fc.integer({ min: 0, max: LEADERS - 1 })), { maxLength: 40 }),
  answers: fc.infiniteStream(fc.constantFrom(...Object.values(Answer))),
  lostAnswers: fc.constantFrom(0, 0.3),
  lostWrites: fc.constantFrom(0, 0.3)
})

/** Two leaders, one store, one platform; the lease is whoever `holder` says. */
class Rivals {
  readonly violations: string[] = []
  readonly effects = new Map<string, string>()
  readonly store: MemoryStore
  readonly leaders: CapacityOrders[]
  holder = 0
  epoch = 1
  answer: () => Answer
  #sequence = 0

  constructor (store: MemoryStore, answer: () => Answer) {
    this.store = store
    this.answer = answer
    this.leaders = Array.from({ length: LEADERS }, (_, index) => new CapacityOrders(
      store,
      { sendFleetOrder: async (order) => await this.#take(index, order) },
      1_000,
      () => this.holder === index ? { epoch: this.epoch, deadline: Infinity } : undefined
    ))
  }

  pass (): void {
    this.holder = (this.holder + 1) % LEADERS
    this.epoch += 1
  }

  order (): FleetOrder {
    this.#sequence += 1
    return { kind: FleetOrderKind.Start, orderId: `o${this.#sequence}`, pool: 'engines', failureDomain: 'd', cheap: true, count: 1 + this.#sequence }
  }

  openIds (): string[] {
    const intents = this.store.peek(intentsKey('capacity')) as { open: Array<{ id: string }> } | undefined
    return intents?.open.map((intent) => intent.id) ?? []
  }

  async #take (index: number, order: FleetOrder): Promise<Outcome<unknown, PlatformFailure>> {
    if (this.holder !== index) this.violations.push(`${order.orderId} sent without the lease`)
    if (!this.openIds().includes(order.orderId)) this.violations.push(`${order.orderId} sent before it was written down`)
    const answer = this.answer()
    await Promise.resolve()
    if (answer === Answer.Refused) return failure(PlatformFailure.Refused)
    if (answer === Answer.LostBefore) return failure(PlatformFailure.Unavailable)
    const content = JSON.stringify(order)
    if ((this.effects.get(order.orderId) ?? content) !== content) this.violations.push(`${order.orderId} sent with other content`)
    this.effects.set(order.orderId, content)
    return answer === Answer.Taken ? success(undefined) : failure(PlatformFailure.Unavailable)
  }
}

async function turns (count: number): Promise<void> {
  for (let turn = 0; turn < count; turn++) await new Promise((resolve) => setImmediate(resolve))
}

test(`orders are written down first, sent only under the lease, and settled by the next leader (seed ${SEED})`, async (t) => {
  await fc.assert(fc.asyncProperty(runs, async ({ seed, moves, answers, lostAnswers, lostWrites }) => {
    const random = seededRandom(seed)
    const store = new MemoryStore({ sleep: async () => await turns(random() < 0.5 ? 0 : 1) }, random)
    Object.assign(store.faults, { lostAnswers, lostWrites })
    const rivals = new Rivals(store, () => answers.next().value ?? Answer.Taken)
    const work: Array<Promise<unknown>> = []
    const busy = new Set<number>()
    const start = (index: number, action: () => Promise<unknown>): void => {
      if (busy.has(index)) return
      busy.add(index)
      work.push(action().finally(() => busy.delete(index)))
    }
    for (const [move, index] of moves) {
      const leader = rivals.leaders[index]
      if (leader === undefined) continue
      if (move === Move.Pass) rivals.pass()
      if (move === Move.Settle) start(index, async () => await leader.settleOpen())
      if (move === Move.Send) {
        start(index, async () => {
          if (await leader.settleOpen() !== undefined) await leader.send([rivals.order(), rivals.order()])
        })
      }
      await turns(move === Move.Wait ? 3 : 1)
    }
    await Promise.all(work)
    Object.assign(store.faults, { lostAnswers: 0, lostWrites: 0 })
    rivals.answer = () => Answer.Taken
    rivals.pass()
    while (await rivals.leaders[rivals.holder]?.settleOpen() === undefined) await turns(1)
    if (rivals.violations.length > 0 || rivals.openIds().length > 0) throw new Error(JSON.stringify([rivals.violations, rivals.openIds()]))
  }), { seed: SEED, numRuns: RUNS, includeErrorInReport: true })
  t.pass()
})
