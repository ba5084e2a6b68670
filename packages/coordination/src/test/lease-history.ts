import { intentsKey, leaseKey } from '@cyclamenthread/protocol'
import { MemoryStore, seededRandom, VirtualClock } from '@cyclamenthread/standins'
import { IntentLog } from '../lib/intent-log.js'
import { LeaseTask } from '../lib/lease-task.js'
import { ProcessClock } from './process-clock.js'
import type { ObjectStore } from '@cyclamenthread/protocol'

const LEASE_MS = 1_000
const END_MS = 25_000
const CANDIDATES = 3

/** Largest difference of a process's clock rate from true time. */
const MAX_CLOCK_DRIFT = 0.02

/** What one run draws by chance. */
export interface LeaseFaults {
  readonly seed: number
  readonly lostAnswers: number
  readonly lostWrites: number
  readonly lateWrites: number
  readonly outage: boolean
}

/** An order that reached the platform, which doesn't look at the epoch. */
interface SentOrder {
  readonly id: string
  readonly epoch: number
}

/** What a run checks while a leader acts. */
interface LeaderObserver {
  found (ids: readonly string[], epoch: number): void
  settle (ids: readonly string[]): void
  send (id: string, epoch: number): void
}

/** What a run left behind. */
export interface LeaseRun {
  readonly sent: readonly SentOrder[]
  readonly violations: readonly string[]
}

/** The store as a paused process sees it: its answers wait until it goes on. */
function storeSeenBy (process: ProcessClock, store: MemoryStore): ObjectStore {
  const late = async <Answer>(answer: Promise<Answer>): Promise<Answer> => {
    const value = await answer
    await process.sleep(0)
    return value
  }
  return {
    read: async (key, call) => await late(store.read(key, call)),
    list: async (prefix, call) => await late(store.list(prefix, call)),
    write: async (key, value, expectation, call) => await late(store.write(key, value, expectation, call)),
    remove: async (key, version, call) => await late(store.remove(key, version, call)),
    watch: async (prefix, after, call) => await late(store.watch(prefix, after, call))
  }
}

/** Candidates that are paused at any point contend for one lease and send orders while they hold it. */
export async function runLeaders (faults: LeaseFaults): Promise<LeaseRun> {
  const random = seededRandom(faults.seed)
  const clock = new VirtualClock()
  const store = new MemoryStore(clock, random)
  const { lostAnswers, lostWrites, lateWrites } = faults
  Object.assign(store.faults, { jitterMs: 60, lostAnswers, lostWrites, lateWrites, latenessMs: 1_500 })
  const sent: SentOrder[] = []
  const settled = new Set<string>()
  const violations: string[] = []
  const leases: LeaseTask[] = []
  for (let index = 0; index < CANDIDATES; index++) {
    const process = new ProcessClock(clock, 1 + (random() * 2 - 1) * MAX_CLOCK_DRIFT)
    const seen = storeSeenBy(process, store)
    const lease = new LeaseTask({ name: 'capacity', holder: `host-${index}`, leaseMs: LEASE_MS, storeTimeoutMs: 300 }, seen, process)
    leases.push(lease)
    const intents = new IntentLog<string>({ name: 'capacity', storeTimeoutMs: 300, parse: String }, seen)
    void runRenewals(lease, process)
    void runPauses(process, clock, random, () => {
      store.faults.down = faults.outage && random() < 0.3
    })
    const found = (ids: readonly string[], epoch: number): void => {
      // A leader that was paused since it read may since have been followed by others.
      const missing = sent.filter((order) => order.epoch <= epoch && !settled.has(order.id) && !ids.includes(order.id))
      for (const order of missing) violations.push(`${order.id} was sent, is not settled, and a new leader doesn't find it`)
    }
    const settle = (ids: readonly string[]): void => {
      for (const id of ids) settled.add(id)
    }
    const send = (id: string, epoch: number): void => {
      if (leases.filter((other) => other.leadership() !== undefined).length > 1) violations.push(`two processes lead at ${clock.now()}`)
      if (sent.some((order) => order.epoch > epoch)) violations.push(`epoch ${epoch} sent after a later one`)
      if (!JSON.stringify(store.peek(intentsKey('capacity'))).includes(`"${id}"`)) violations.push(`${id} was sent without an intent`)
      sent.push({ id, epoch })
    }
    void runLeader(lease, intents, process, random, { found, settle, send })
  }
  await clock.run(END_MS)
  if (store.peek(leaseKey('capacity')) === undefined) violations.push('nobody ever led')
  return { sent, violations }
}

async function runRenewals (lease: LeaseTask, process: ProcessClock): Promise<void> {
  for (;;) {
    await lease.renewOrContend()
    await process.sleep(LEASE_MS / 3)
  }
}

async function runPauses (process: ProcessClock, clock: VirtualClock, random: () => number, between: () => void): Promise<void> {
  for (;;) {
    await clock.sleep(random() * 3_000)
    process.pausedUntil = clock.now() + random() * 2 * LEASE_MS
    between()
  }
}

/** Settles what the leader before left open, then writes intents and sends orders; it may be paused between any two steps. */
async function runLeader (lease: LeaseTask, intents: IntentLog<string>, process: ProcessClock, random: () => number, watch: LeaderObserver): Promise<void> {
  let opened = 0
  for (let serial = 0; ; serial++) {
    await process.sleep(random() * 200)
    const leadership = lease.leadership()
    if (leadership === undefined) continue
    await process.sleep(0)
    if (opened !== leadership.epoch) {
      const open = await intents.open(leadership)
      if (!open.ok) continue
      const ids = open.value.map((intent) => intent.id)
      watch.found(ids, leadership.epoch)
      // From here on this leader answers for them, whether or not the store keeps them any longer.
      watch.settle(ids)
      if (!(await intents.settle(ids)).ok) continue
      opened = leadership.epoch
    }
    const id = `order-${leadership.epoch}-${serial}`
    const written = await intents.write([{ id, order: id }], leadership)
    await process.sleep(random() * 20)
    if (!written.ok) {
      opened = 0
      continue
    }
    if (lease.leadership()?.epoch === leadership.epoch) watch.send(id, leadership.epoch)
    await process.sleep(random() * 200)
    watch.settle([id])
    await intents.settle([id])
  }
}
