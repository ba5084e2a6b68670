import test from 'ava'
import fc from 'fast-check'
import { failure, success } from '@cyclamenthread/state'
import { FleetOrderKind, intentsKey, PlatformFailure } from '@cyclamenthread/protocol'
import { MemoryStore, seededRandom } from '@cyclamenthread/standins'
import { CapacityOrderSender } from '../lib/capacity-order-sender.js'
import type { Outcome } from '@cyclamenthread/state'
import type { FleetOrder } from '@cyclamenthread/protocol'

const SEED = 20_261_208
const RUNS = 1_000
const LEADER_COUNT = 2

/** One step of a run. */
enum Step {
  Send = 'send',
  Resend = 'settle',
  /** The lease passes to the other leader, even while orders are being sent. */
  PassLease = 'pass',
  Wait = 'wait'
}

/** How the platform reacts to an order. */
enum PlatformAnswer {
  Accepted = 'taken',
  Refused = 'refused',
  LostAfterEffect = 'lost-after',
  LostBeforeEffect = 'lost-before'
}

const runs = fc.record({
  seed: fc.integer(),
  steps: fc.array(fc.tuple(fc.constantFrom(...Object.values(Step)), fc.integer({ min: 0, max: LEADER_COUNT - 1 })), { maxLength: 40 }),
  answers: fc.infiniteStream(fc.constantFrom(...Object.values(PlatformAnswer))),
  lostAnswers: fc.constantFrom(0, 0.3),
  lostWrites: fc.constantFrom(0, 0.3)
})

/** Two leaders that share one store and one platform; `holder` determines who has the lease. */
class CompetingLeaders {
  readonly violations: string[] = []
  readonly effects = new Map<string, string>()
  readonly store: MemoryStore
  readonly leaders: CapacityOrderSender[]
  holder = 0
  epoch = 1
  answer: () => PlatformAnswer
  #sequence = 0

  constructor (store: MemoryStore, answer: () => PlatformAnswer) {
    this.store = store
    this.answer = answer
    this.leaders = Array.from({ length: LEADER_COUNT }, (_, index) => new CapacityOrderSender(
      store,
      { sendFleetOrder: async (order) => await this.#receiveOrder(index, order) },
      1_000,
      () => this.holder === index ? { epoch: this.epoch, deadline: Infinity } : undefined
    ))
  }

  passLease (): void {
    this.holder = (this.holder + 1) % LEADER_COUNT
    this.epoch += 1
  }

  nextOrder (): FleetOrder {
    this.#sequence += 1
    return { kind: FleetOrderKind.Start, orderId: `o${this.#sequence}`, pool: 'engines', failureDomain: 'd', cheap: true, count: 1 + this.#sequence }
  }

  openOrderIds (): string[] {
    const intents = this.store.peek(intentsKey('capacity')) as { open: Array<{ id: string }> } | undefined
    return intents?.open.map((intent) => intent.id) ?? []
  }

  async #receiveOrder (index: number, order: FleetOrder): Promise<Outcome<unknown, PlatformFailure>> {
    if (this.holder !== index) this.violations.push(`${order.orderId} sent without the lease`)
    if (!this.openOrderIds().includes(order.orderId)) this.violations.push(`${order.orderId} sent before its intent was written`)
    const answer = this.answer()
    await Promise.resolve()
    if (answer === PlatformAnswer.Refused) return failure(PlatformFailure.Refused)
    if (answer === PlatformAnswer.LostBeforeEffect) return failure(PlatformFailure.Unavailable)
    const content = JSON.stringify(order)
    if ((this.effects.get(order.orderId) ?? content) !== content) this.violations.push(`${order.orderId} resent with different content`)
    this.effects.set(order.orderId, content)
    return answer === PlatformAnswer.Accepted ? success(undefined) : failure(PlatformFailure.Unavailable)
  }
}

async function yieldToEventLoop (count: number): Promise<void> {
  for (let turn = 0; turn < count; turn++) await new Promise((resolve) => setImmediate(resolve))
}

test(`orders are written to the intent log first, sent only under the lease, and settled by the next leader (seed ${SEED})`, async (t) => {
  await fc.assert(fc.asyncProperty(runs, async ({ seed, steps, answers, lostAnswers, lostWrites }) => {
    const random = seededRandom(seed)
    const store = new MemoryStore({ sleep: async () => await yieldToEventLoop(random() < 0.5 ? 0 : 1) }, random)
    Object.assign(store.faults, { lostAnswers, lostWrites })
    const competitors = new CompetingLeaders(store, () => answers.next().value ?? PlatformAnswer.Accepted)
    const work: Array<Promise<unknown>> = []
    const busy = new Set<number>()
    const start = (index: number, action: () => Promise<unknown>): void => {
      if (busy.has(index)) return
      busy.add(index)
      work.push(action().finally(() => busy.delete(index)))
    }
    for (const [step, index] of steps) {
      const leader = competitors.leaders[index]
      if (leader === undefined) continue
      if (step === Step.PassLease) competitors.passLease()
      if (step === Step.Resend) start(index, async () => await leader.resendOpenOrders())
      if (step === Step.Send) {
        start(index, async () => {
          if (await leader.resendOpenOrders() !== undefined) await leader.send([competitors.nextOrder(), competitors.nextOrder()])
        })
      }
      await yieldToEventLoop(step === Step.Wait ? 3 : 1)
    }
    await Promise.all(work)
    Object.assign(store.faults, { lostAnswers: 0, lostWrites: 0 })
    competitors.answer = () => PlatformAnswer.Accepted
    competitors.passLease()
    while (await competitors.leaders[competitors.holder]?.resendOpenOrders() === undefined) await yieldToEventLoop(1)
    if (competitors.violations.length > 0 || competitors.openOrderIds().length > 0) throw new Error(JSON.stringify([competitors.violations, competitors.openOrderIds()]))
  }), { seed: SEED, numRuns: RUNS, includeErrorInReport: true })
  t.pass()
})
