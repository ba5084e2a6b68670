import { LeaseTask } from '@cyclamenthread/coordination'
import { MemoryStore, seededRandom, VirtualClock } from '@cyclamenthread/standins'
import { ProcessClock } from './process-clock.js'
import { findTurns } from './turns.js'
import type { Leadership } from '@cyclamenthread/coordination'
import type { ObjectStore } from '@cyclamenthread/protocol'
import type { Act, Turn } from './turns.js'

/** Duration of the lease, in milliseconds. */
export const LEASE_MS = 3_000

/** A process that contends for the lease. */
interface Candidate {
  readonly lease: LeaseTask
  readonly clock: ProcessClock
}

/**
 * Hosts that contend for one lease, step by step, and act whenever they hold it.
 *
 * @example
 * const hosts = new DutyHosts()
 * await hosts.contend('h1')
 */
export class DutyHosts {
  readonly time = new VirtualClock()
  readonly store = new MemoryStore({ sleep: async () => {} }, seededRandom(1))
  readonly acts: Act[] = []
  readonly #candidates = new Map<string, Candidate>()
  readonly #openStore: (host: string) => ObjectStore
  #incarnations = 0

  /** @param openStore the store as a host sees it */
  constructor (openStore?: (host: string, store: MemoryStore) => ObjectStore) {
    this.#openStore = (host) => openStore?.(host, this.store) ?? this.store
  }

  /** Starts a new process on a host, without a word of the previous one. */
  start (host: string): void {
    const clock = new ProcessClock(this.time)
    this.#incarnations += 1
    const settings = { name: 'duties', holder: `${host}/${this.#incarnations}`, leaseMs: LEASE_MS, storeTimeoutMs: 500 }
    this.#candidates.set(host, { clock, lease: new LeaseTask(settings, this.#openStore(host), clock) })
  }

  /** Lets a host renew the lease or contend for it, and act if it then holds it. */
  async contend (host: string): Promise<Leadership | undefined> {
    await this.#candidate(host).lease.renewOrContend()
    return this.act(host)
  }

  /** Lets a host act if it holds the lease. */
  act (host: string): Leadership | undefined {
    const leadership = this.#candidate(host).lease.leadership()
    if (leadership !== undefined) this.acts.push({ at: this.time.now(), host })
    return leadership
  }

  /** Stops a host's process, which releases the lease; the next one starts at once. */
  async restart (host: string): Promise<void> {
    await this.#candidate(host).lease.release()
    this.start(host)
  }

  clock (host: string): ProcessClock {
    return this.#candidate(host).clock
  }

  async wait (milliseconds: number): Promise<void> {
    await this.time.run(this.time.now() + milliseconds)
  }

  turns (): Turn[] {
    return findTurns(this.acts, LEASE_MS)
  }

  #candidate (host: string): Candidate {
    if (!this.#candidates.has(host)) this.start(host)
    const candidate = this.#candidates.get(host)
    if (candidate === undefined) throw new Error(`host ${host} has no process`)
    return candidate
  }
}
