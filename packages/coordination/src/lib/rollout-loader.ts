import { failure, RolloutProgress, success } from '@cyclamenthread/state'
import { StoreFailure } from '@cyclamenthread/protocol'
import { deadlineAfter, monotonicNow, suspendAwareNow } from '@cyclamenthread/transport'
import { Backoff } from './backoff.js'
import { shared, untilDeadline } from './shared-work.js'
import { SYSTEM_CLOCK } from './system-clock.js'
import type { Outcome, RolloutOrder } from '@cyclamenthread/state'
import type { RolloutStore } from './rollout-store.js'

/** Timeout for one attempt to read on in a log, in milliseconds; each call of the store in it has its own. */
const ATTEMPT_TIMEOUT_MS = 10_000

/** Failed attempts after which a read that saw no progress is told that the store doesn't answer: a single refusal for too many calls is borne. */
const MAX_VAIN_ATTEMPTS = 2

/** Characters of orders, results and texts that are kept of rollouts that don't run here: a small part of a host's memory. */
const MAX_KEPT_CHARACTERS = 8_000_000

/** What a sample or a result takes beside its texts, in characters. */
const OVERHEAD_CHARACTERS = 200

/** A rollout as far as this host has read it from the store. */
export interface LoadedRollout {
  readonly order: RolloutOrder
  readonly progress: RolloutProgress
  /** Time before the read that found the end of the log, in milliseconds by the clock that counts suspends; -Infinity if only a part was read. */
  readonly readAt: number
}

/** Whether a part of a log is of use to a reader that can't have the whole. */
export type Sufficiency = (progress: RolloutProgress) => boolean

const NEVER_ENOUGH: Sufficiency = () => false

/** What is known of a rollout; its order is read first. */
interface KnownRollout {
  order: RolloutOrder | undefined
  readonly progress: RolloutProgress
}

/** One load in progress, which several reads may wait for. */
class RolloutLoad {
  readonly known: KnownRollout
  readonly #watchers = new Set<() => void>()
  #outcome: Outcome<LoadedRollout | undefined, StoreFailure> | undefined
  #waiting = 0
  #vainAttempts = 0

  constructor (known: KnownRollout) {
    this.known = known
  }

  /** Whether a read waits for it. */
  get isAwaited (): boolean {
    return this.#waiting > 0
  }

  /**
   * Waits until the log is read, the store refuses, or the deadline passes; then what
   * was read may be enough. A timeout means that the load makes progress, otherwise
   * the store is unavailable.
   */
  async wait (deadline: number, isEnough: Sufficiency): Promise<Outcome<LoadedRollout | undefined, StoreFailure>> {
    this.#waiting += 1
    try {
      return await this.#wait(deadline, isEnough)
    } finally {
      this.#waiting -= 1
    }
  }

  async #wait (deadline: number, isEnough: Sufficiency): Promise<Outcome<LoadedRollout | undefined, StoreFailure>> {
    const { known } = this
    const { order, progress: { segments: segmentsBefore } } = known
    const hasAdvanced = (): boolean => known.order !== order || known.progress.segments > segmentsBefore
    let vainBefore = this.#vainAttempts
    let segments = segmentsBefore
    while (this.#outcome === undefined) {
      if (known.progress.segments > segments) {
        segments = known.progress.segments
        vainBefore = this.#vainAttempts
      }
      const isRefused = this.#vainAttempts - vainBefore >= MAX_VAIN_ATTEMPTS
      if (isRefused || monotonicNow() >= deadline) {
        if (known.order !== undefined && isEnough(known.progress)) return success({ order: known.order, progress: known.progress, readAt: -Infinity })
        return failure(!isRefused && hasAdvanced() ? StoreFailure.Timeout : StoreFailure.Unavailable)
      }
      await this.#nextChange(deadline)
    }
    return this.#outcome
  }

  /** Reports that an entry was read. */
  recordProgress (): void {
    this.#notifyWatchers()
  }

  recordVainAttempt (): void {
    this.#vainAttempts += 1
    this.#notifyWatchers()
  }

  settle (outcome: Outcome<LoadedRollout | undefined, StoreFailure>): void {
    this.#outcome = outcome
    this.#notifyWatchers()
  }

  async #nextChange (deadline: number): Promise<void> {
    await new Promise<void>((resolve) => {
      const done = (): void => {
        clearTimeout(timer)
        this.#watchers.delete(done)
        resolve()
      }
      const timer = setTimeout(done, Math.max(0, deadline - monotonicNow()))
      this.#watchers.add(done)
    })
  }

  #notifyWatchers (): void {
    for (const watcher of [...this.#watchers]) watcher()
  }
}

/**
 * Reads rollouts from the store for this host, one load of each at a time, and keeps
 * what it has read: a load goes on where the one before it stopped. A load that its
 * reads have given up on goes on for as long as it makes progress.
 *
 * Invariants: what is kept is a prefix of the log; beyond the rollout used last, a
 * bounded number of characters is kept.
 *
 * @example
 * const loader = new RolloutLoader(store)
 * const loaded = await loader.load('r1', deadlineAfter(1_000), (progress) => progress.results.length > 12)
 */
export class RolloutLoader {
  readonly #store: RolloutStore
  /** Rollouts that don't run here, the least recently used first. */
  readonly #kept = new Map<string, KnownRollout & { readonly characters: number }>()
  readonly #loads = new Map<string, RolloutLoad>()
  readonly #orderReads = new Map<string, Promise<Outcome<RolloutOrder | undefined, StoreFailure>>>()
  readonly #mayKeep: (order: RolloutOrder) => boolean
  #characters = 0
  #stopped = false

  /** @param mayKeep whether this host may keep copies of a rollout; one outside the homes of a rollout reads it each time */
  constructor (store: RolloutStore, mayKeep: (order: RolloutOrder) => boolean = () => true) {
    this.#store = store
    this.#mayKeep = mayKeep
  }

  /** Whether all that will ever be listed of a rollout is known. */
  holdsWhole (id: string): boolean {
    const known = this.#kept.get(id)
    return known?.order !== undefined && isComplete(known.order, known.progress)
  }

  /** Returns the order of a rollout if it is known. */
  findOrder (id: string): RolloutOrder | undefined {
    return this.#loads.get(id)?.known.order ?? this.#kept.get(id)?.order
  }

  /**
   * Loads a rollout; undefined if it doesn't exist. If its log can't be read whole in
   * time, a part that is enough is returned.
   */
  async load (id: string, deadline: number, isEnough: Sufficiency = NEVER_ENOUGH): Promise<Outcome<LoadedRollout | undefined, StoreFailure>> {
    const known = this.#kept.get(id)
    if (known?.order !== undefined && isComplete(known.order, known.progress)) {
      this.keep(known.order, known.progress)
      return success({ order: known.order, progress: known.progress, readAt: suspendAwareNow() })
    }
    return await (this.#loads.get(id) ?? this.#begin(id)).wait(deadline, isEnough)
  }

  /** Reads the order of a rollout without its log; undefined if it doesn't exist. */
  async loadOrder (id: string, deadline: number): Promise<Outcome<RolloutOrder | undefined, StoreFailure>> {
    const reading = shared(this.#orderReads, id, async () => {
      const read = await this.#store.readOrder(id, deadlineAfter(ATTEMPT_TIMEOUT_MS))
      if (read.ok && read.value !== undefined) this.keep(read.value)
      return read
    })
    return await untilDeadline(reading, deadline) ?? failure(StoreFailure.Timeout)
  }

  /** Keeps what this host knows of a rollout, as far as there is room. */
  keep (order: RolloutOrder, progress = this.#kept.get(order.id)?.progress ?? new RolloutProgress()): void {
    this.forget(order.id)
    if (!this.#mayKeep(order)) return
    const characters = countCharacters(order, progress)
    this.#kept.set(order.id, { order, progress, characters })
    this.#characters += characters
    for (const id of this.#kept.keys()) {
      if (this.#characters <= MAX_KEPT_CHARACTERS || id === order.id) break
      this.forget(id)
    }
  }

  /** Forgets a rollout, which runs here from now on. */
  forget (id: string): void {
    this.#characters -= this.#kept.get(id)?.characters ?? 0
    this.#kept.delete(id)
  }

  /** Begins nothing more. */
  stop (): void {
    this.#stopped = true
  }

  #begin (id: string): RolloutLoad {
    const { order, progress = new RolloutProgress() } = this.#kept.get(id) ?? {}
    const load = new RolloutLoad({ order, progress })
    this.#loads.set(id, load)
    void this.#run(id, load).then((outcome) => {
      this.#loads.delete(id)
      if (load.known.order !== undefined) this.keep(load.known.order, load.known.progress)
      load.settle(outcome)
    })
    return load
  }

  /** Reads on until the log is whole, or an attempt that nobody waits for made no progress. */
  async #run (id: string, load: RolloutLoad): Promise<Outcome<LoadedRollout | undefined, StoreFailure>> {
    const backoff = new Backoff(Math.random)
    for (;;) {
      const { order, progress } = load.known
      const segments = progress.segments
      const read = await this.#readOn(id, load)
      if (read.ok) return read
      const isVain = progress.segments === segments && load.known.order === order
      if (isVain) load.recordVainAttempt()
      else backoff.reset()
      await SYSTEM_CLOCK.sleep(backoff.nextDelayMs())
      if (this.#stopped || (isVain && !load.isAwaited)) return read
    }
  }

  async #readOn (id: string, load: RolloutLoad): Promise<Outcome<LoadedRollout | undefined, StoreFailure>> {
    const { known } = load
    const deadline = deadlineAfter(ATTEMPT_TIMEOUT_MS)
    if (known.order === undefined) {
      const order = await this.#store.readOrder(id, deadline)
      if (!order.ok || order.value === undefined) return order.ok ? success(undefined) : order
      known.order = order.value
      load.recordProgress()
    }
    const readAt = suspendAwareNow()
    const read = await this.#store.catchUp(id, known.progress, deadline, () => load.recordProgress())
    return read.ok ? success({ order: known.order, progress: known.progress, readAt }) : read
  }
}

/** Whether nothing more can be listed: the rollout has ended, or each sample has a result. */
export function isComplete (order: RolloutOrder, progress: RolloutProgress): boolean {
  return progress.ended || progress.results.length === order.samples.length
}

function countCharacters (order: RolloutOrder, progress: RolloutProgress): number {
  let characters = 0
  for (const { body, reward } of order.samples) characters += OVERHEAD_CHARACTERS + body.length + (reward?.body.length ?? 0)
  for (const { output } of progress.results) characters += OVERHEAD_CHARACTERS + output.length
  for (const { pieces } of progress.texts.values()) for (const piece of pieces) characters += piece.length
  return characters
}
