import { failure, success } from '@cyclamenthread/state'
import { ExpectationKind, StoreFailure, WriteStatus } from '@cyclamenthread/protocol'
import { monotonicNow } from '@cyclamenthread/transport'
import type { Outcome } from '@cyclamenthread/state'
import type { Expectation, SnapshotStore, StoreCall, StoreChange, StoredObject, StoreSnapshot, WatchBatch, WriteResult } from '@cyclamenthread/protocol'

/** Maximum size of a value, in bytes. */
const MAX_VALUE_BYTES = 1024 * 1024

/** Minimum round-trip time to the store, in milliseconds. */
const MIN_ROUND_TRIP_MS = 2

/** How long a watch waits for changes, in milliseconds. */
const WATCH_WAIT_MS = 5

/** Faults of the store; shares range from 0 to 1. */
export interface MemoryStoreFaults {
  /** Fails every call. */
  down: boolean
  /** Maximum random latency added to a call, in milliseconds. */
  jitterMs: number
  /** Share of writes that take effect but whose response is lost. */
  lostAnswers: number
  /** Share of writes that are lost and don't take effect. */
  lostWrites: number
  /** Share of writes that take effect only after the caller was notified that their outcome is unknown. */
  lateWrites: number
  /** Maximum delay of a late write, in milliseconds. */
  latenessMs: number
}

/** Clock that the store sleeps on. */
export interface StoreClock {
  sleep (milliseconds: number): Promise<void>
}

interface StoredValue {
  readonly version: number
  readonly text: string
}

/**
 * In-memory object store for tests with thousands of runs. Conditional updates
 * can have every outcome that an unreliable network can cause, and watches
 * respond after a short wait.
 */
export class MemoryStore implements SnapshotStore {
  readonly faults: MemoryStoreFaults = { down: false, jitterMs: 0, lostAnswers: 0, lostWrites: 0, lateWrites: 0, latenessMs: 0 }
  /** Number of calls, and size of the values written. */
  readonly counts = { reads: 0, writes: 0, bytesWritten: 0, largestValue: 0 }
  readonly #clock: StoreClock
  readonly #random: () => number
  readonly #objects = new Map<string, StoredValue>()
  #changes: StoreChange[] = []
  /** Version up to which the change history has been discarded. */
  #compactedVersion = 0
  #version = 0

  constructor (clock: StoreClock, random: () => number) {
    this.#clock = clock
    this.#random = random
  }

  /** Returns the value of an object without a simulated call. */
  peek (key: string): unknown {
    const held = this.#objects.get(key)
    return held === undefined ? undefined : JSON.parse(held.text)
  }

  /** Returns the keys with a prefix, sorted. */
  keys (prefix: string): string[] {
    return [...this.#objects.keys()].filter((key) => key.startsWith(prefix)).sort()
  }

  async read (key: string, { observer }: StoreCall): Promise<Outcome<StoredObject | undefined, StoreFailure>> {
    this.counts.reads += 1
    observer?.onSent(monotonicNow())
    await this.#simulateLatency()
    if (this.faults.down) return failure(StoreFailure.Unavailable)
    const held = this.#objects.get(key)
    const found = held === undefined ? undefined : { key, version: String(held.version), value: JSON.parse(held.text) as unknown }
    await this.#simulateLatency()
    observer?.onServed()
    return success(found)
  }

  async list (prefix: string, call: StoreCall): Promise<Outcome<readonly StoredObject[], StoreFailure>> {
    const found = await Promise.all(this.keys(prefix).map(async (key) => await this.read(key, call)))
    return success(found.flatMap((item) => item.ok && item.value !== undefined ? [item.value] : []))
  }

  async write (key: string, value: unknown, expectation: Expectation, { observer }: StoreCall): Promise<WriteResult> {
    const text = JSON.stringify(value)
    observer?.onSent(monotonicNow())
    const result = await this.#applyWithFaults(() => this.#putIfExpected(key, text, expectation))
    if (result.status === WriteStatus.Applied || result.status === WriteStatus.Conflict) observer?.onServed()
    return result
  }

  async remove (key: string, version: string, _call: StoreCall): Promise<WriteResult> {
    return await this.#applyWithFaults(() => {
      if (String(this.#objects.get(key)?.version) !== version) return { status: WriteStatus.Conflict }
      this.#objects.delete(key)
      return { status: WriteStatus.Applied, version: '' }
    })
  }

  async snapshot (prefix: string, call: StoreCall): Promise<Outcome<StoreSnapshot, StoreFailure>> {
    if (this.faults.down) return failure(StoreFailure.Unavailable)
    const next = String(this.#version)
    const listed = await this.list(prefix, call)
    return listed.ok ? success({ objects: listed.value, next }) : listed
  }

  async watch (prefix: string, after: string, _call: StoreCall): Promise<Outcome<WatchBatch, StoreFailure>> {
    await this.#clock.sleep(WATCH_WAIT_MS)
    if (this.faults.down) return failure(StoreFailure.Unavailable)
    if (Number(after) < this.#compactedVersion) return failure(StoreFailure.HistoryLost)
    const changes = this.#changes.filter((change) => change.key.startsWith(prefix) && Number(change.version) > Number(after))
    return success({ changes, next: String(this.#version) })
  }

  /** Discards the change history, so that watches from an earlier version fail and have to start from a new snapshot. */
  compactHistory (): void {
    this.#changes = []
    this.#compactedVersion = this.#version
  }

  /** Writes an object unconditionally, on behalf of an operator or an endpoint. */
  set (key: string, value: unknown): void {
    this.#version += 1
    this.#objects.set(key, { version: this.#version, text: JSON.stringify(value) })
    this.#changes.push({ key, version: String(this.#version), value })
  }

  /** Removes an object unconditionally, on behalf of an operator or an endpoint. */
  delete (key: string): void {
    this.#version += 1
    this.#objects.delete(key)
    this.#changes.push({ key, version: String(this.#version) })
  }

  async #applyWithFaults (effect: () => WriteResult): Promise<WriteResult> {
    this.counts.writes += 1
    const { lostWrites, lateWrites, lostAnswers, latenessMs } = this.faults
    const draw = this.#random()
    await this.#simulateLatency()
    if (this.faults.down) return { status: WriteStatus.NotWritten, detail: 'down' }
    if (draw < lostWrites) return { status: WriteStatus.Unknown, detail: 'lost' }
    if (draw < lostWrites + lateWrites) {
      void this.#clock.sleep(this.#random() * latenessMs).then(effect)
      return { status: WriteStatus.Unknown, detail: 'late' }
    }
    const result = effect()
    await this.#simulateLatency()
    return draw < lostWrites + lateWrites + lostAnswers ? { status: WriteStatus.Unknown, detail: 'response lost' } : result
  }

  #putIfExpected (key: string, text: string, expectation: Expectation): WriteResult {
    const held = this.#objects.get(key)
    const isExpected = expectation.kind === ExpectationKind.Absent ? held === undefined : String(held?.version) === expectation.version
    if (!isExpected) return { status: WriteStatus.Conflict }
    const bytes = Buffer.byteLength(text)
    if (bytes > MAX_VALUE_BYTES) return { status: WriteStatus.NotWritten, detail: 'too large' }
    this.#version += 1
    this.#objects.set(key, { version: this.#version, text })
    this.#changes.push({ key, version: String(this.#version), value: JSON.parse(text) as unknown })
    this.counts.bytesWritten += bytes
    this.counts.largestValue = Math.max(this.counts.largestValue, bytes)
    return { status: WriteStatus.Applied, version: String(this.#version) }
  }

  async #simulateLatency (): Promise<void> {
    await this.#clock.sleep((MIN_ROUND_TRIP_MS + this.#random() * this.faults.jitterMs) / 2)
  }
}
