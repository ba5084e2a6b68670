import { failure, success } from '@cyclamenthread/state'
import { ExpectationKind, StoreFailure, WriteStatus } from '@cyclamenthread/protocol'
import type { Outcome } from '@cyclamenthread/state'
import type { Expectation, SnapshotStore, StoreCall, StoreChange, StoredObject, StoreSnapshot, WatchBatch, WriteResult } from '@cyclamenthread/protocol'

/** Largest value the object service holds, in bytes. */
const MAX_VALUE_BYTES = 1024 * 1024

/** Shortest way to the store and back, in milliseconds. */
const MIN_ROUND_TRIP_MS = 2

/** How long a watch waits for changes, in milliseconds. */
const WATCH_WAIT_MS = 5

/** Faults of the store; shares are from 0 to 1. */
export interface MemoryStoreFaults {
  /** Refuses every call. */
  down: boolean
  /** Most that chance adds to a call, in milliseconds. */
  jitterMs: number
  /** Share of writes whose answer is lost after the effect. */
  lostAnswers: number
  /** Share of writes that are lost before the effect. */
  lostWrites: number
  /** Share of writes that take effect long after the caller gave up. */
  lateWrites: number
  /** Most that a late write is late, in milliseconds. */
  latenessMs: number
}

/** What passes time for the store. */
export interface StoreTime {
  sleep (milliseconds: number): Promise<void>
}

interface StoredValue {
  readonly version: number
  readonly text: string
}

/**
 * The object service in memory, for tests that need thousands of runs: conditional
 * updates with every outcome that a network between can make of them, and watches
 * that answer at once or after a short wait.
 */
export class MemoryStore implements SnapshotStore {
  readonly faults: MemoryStoreFaults = { down: false, jitterMs: 0, lostAnswers: 0, lostWrites: 0, lateWrites: 0, latenessMs: 0 }
  /** Calls made, and bytes of values written. */
  readonly counts = { reads: 0, writes: 0, bytesWritten: 0, largestValue: 0 }
  readonly #time: StoreTime
  readonly #random: () => number
  readonly #objects = new Map<string, StoredValue>()
  #changes: StoreChange[] = []
  /** Version up to which changes have been forgotten. */
  #compactedVersion = 0
  #version = 0

  constructor (time: StoreTime, random: () => number) {
    this.#time = time
    this.#random = random
  }

  /** The value of an object, as a test sees it. */
  peek (key: string): unknown {
    const held = this.#objects.get(key)
    return held === undefined ? undefined : JSON.parse(held.text)
  }

  /** Keys that start with a prefix. */
  keys (prefix: string): string[] {
    return [...this.#objects.keys()].filter((key) => key.startsWith(prefix)).sort()
  }

  async read (key: string, _call: StoreCall): Promise<Outcome<StoredObject | undefined, StoreFailure>> {
    this.counts.reads += 1
    await this.#simulateLatency()
    if (this.faults.down) return failure(StoreFailure.Unavailable)
    const held = this.#objects.get(key)
    const found = held === undefined ? undefined : { key, version: String(held.version), value: JSON.parse(held.text) as unknown }
    await this.#simulateLatency()
    return success(found)
  }

  async list (prefix: string, call: StoreCall): Promise<Outcome<readonly StoredObject[], StoreFailure>> {
    const found = await Promise.all(this.keys(prefix).map(async (key) => await this.read(key, call)))
    return success(found.flatMap((item) => item.ok && item.value !== undefined ? [item.value] : []))
  }

  async write (key: string, value: unknown, expectation: Expectation, _call: StoreCall): Promise<WriteResult> {
    const text = JSON.stringify(value)
    return await this.#applyWithFaults(() => this.#putIfExpected(key, text, expectation))
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
    await this.#time.sleep(WATCH_WAIT_MS)
    if (this.faults.down) return failure(StoreFailure.Unavailable)
    if (Number(after) < this.#compactedVersion) return failure(StoreFailure.HistoryLost)
    const changes = this.#changes.filter((change) => change.key.startsWith(prefix) && Number(change.version) > Number(after))
    return success({ changes, next: String(this.#version) })
  }

  /** Forgets which changes were made; watches from before start anew. */
  compactHistory (): void {
    this.#changes = []
    this.#compactedVersion = this.#version
  }

  /** Sets an object as an operator or an endpoint would, without a condition. */
  set (key: string, value: unknown): void {
    this.#version += 1
    this.#objects.set(key, { version: this.#version, text: JSON.stringify(value) })
    this.#changes.push({ key, version: String(this.#version), value })
  }

  /** Removes an object as an operator or an endpoint would. */
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
      void this.#time.sleep(this.#random() * latenessMs).then(effect)
      return { status: WriteStatus.Unknown, detail: 'late' }
    }
    const result = effect()
    await this.#simulateLatency()
    return draw < lostWrites + lateWrites + lostAnswers ? { status: WriteStatus.Unknown, detail: 'answer lost' } : result
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
    await this.#time.sleep((MIN_ROUND_TRIP_MS + this.#random() * this.faults.jitterMs) / 2)
  }
}
