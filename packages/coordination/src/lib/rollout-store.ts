import { failure, rolloutOrderSchema, rolloutSegmentSchema, success } from '@cyclamenthread/state'
import { ExpectationKind, RolloutCreationStatus, rolloutKey, rolloutSegmentKey, StoreFailure, StorePurpose, WriteStatus } from '@cyclamenthread/protocol'
import { deadlineAfter, monotonicNow } from '@cyclamenthread/transport'
import { Backoff } from './backoff.js'
import { SYSTEM_CLOCK } from './system-clock.js'
import type { Outcome, RolloutOrder, RolloutProgress, RolloutSegment } from '@cyclamenthread/state'
import type { ObjectStore } from '@cyclamenthread/protocol'

/** Longest wait for one call of the store, in milliseconds: far beyond its usual answer, well within a trainer's wait. */
const CALL_TIMEOUT_MS = 1_200

/** What became of an append to a rollout's log. */
export enum AppendStatus {
  Applied = 'applied',
  /** Another writer has taken that place; its entry is applied. */
  Overtaken = 'overtaken',
  Failed = 'failed'
}

/**
 * Rollouts as they last: the order in one object, and a log of immutable
 * entries, each written at its own place or not at all.
 *
 * Invariant: what a log entry says never changes, so every host that reads the
 * log up to the same entry lists the same results at the same positions.
 */
export class RolloutStore {
  readonly #store: ObjectStore

  constructor (store: ObjectStore) {
    this.#store = store
  }

  /** Stores a rollout; a lost answer is followed up until the deadline. */
  async create (readOrder: RolloutOrder, deadline: number): Promise<RolloutCreationStatus> {
    const backoff = new Backoff(Math.random)
    let sent = false
    while (monotonicNow() < deadline) {
      const result = await this.#store.write(rolloutKey(readOrder.id), readOrder, { kind: ExpectationKind.Absent }, this.#storeCall(deadline))
      if (result.status === WriteStatus.Applied) return RolloutCreationStatus.Created
      if (result.status === WriteStatus.Conflict) return sent ? RolloutCreationStatus.Created : RolloutCreationStatus.Known
      if (result.status === WriteStatus.Unknown) sent = true
      else if (!sent) return RolloutCreationStatus.Refused
      await SYSTEM_CLOCK.sleep(backoff.nextDelayMs())
    }
    return sent ? RolloutCreationStatus.Unknown : RolloutCreationStatus.Refused
  }

  /** Reads the order of a rollout; undefined when there is none. */
  async order (id: string, deadline: number): Promise<Outcome<RolloutOrder | undefined, StoreFailure>> {
    const found = await this.#store.read(rolloutKey(id), this.#storeCall(deadline))
    if (!found.ok) return found
    if (found.value === undefined) return success(undefined)
    const order = rolloutOrderSchema.safeParse(found.value.value)
    return order.success ? success(order.data) : failure(StoreFailure.Malformed)
  }

  /** Applies all log entries that come after those a progress holds. */
  async catchUp (id: string, progress: RolloutProgress, deadline: number): Promise<Outcome<void, StoreFailure>> {
    for (;;) {
      const place = progress.segments
      const found = await this.#store.read(rolloutSegmentKey(id, place), this.#storeCall(deadline))
      if (!found.ok) return failure(found.failure)
      if (found.value === undefined) return success(undefined)
      if (progress.segments === place) progress.apply(rolloutSegmentSchema.parse(found.value.value))
    }
  }

  /**
   * Appends one entry and applies what then stands at its place. A lost answer
   * is followed up with the same entry until it or another one stands there.
   */
  async append (id: string, progress: RolloutProgress, segment: RolloutSegment, deadline: number): Promise<AppendStatus> {
    const backoff = new Backoff(Math.random)
    const place = progress.segments
    while (monotonicNow() < deadline) {
      const result = await this.#store.write(rolloutSegmentKey(id, place), segment, { kind: ExpectationKind.Absent }, this.#storeCall(deadline))
      if (result.status === WriteStatus.Applied) {
        // A read that overlapped may have applied the entry already.
        if (progress.segments === place) progress.apply(segment)
        return AppendStatus.Applied
      }
      if (result.status === WriteStatus.Conflict) return await this.#resolveConflict(id, progress, segment, place, deadline)
      await SYSTEM_CLOCK.sleep(backoff.nextDelayMs())
    }
    return AppendStatus.Failed
  }

  async #resolveConflict (id: string, progress: RolloutProgress, segment: RolloutSegment, place: number, deadline: number): Promise<AppendStatus> {
    const read = await this.catchUp(id, progress, deadline)
    if (!read.ok || progress.segments <= place) return AppendStatus.Failed
    const own = segment.results.every((result) => progress.isListed(result.id)) && (!segment.ended || progress.ended)
    return own ? AppendStatus.Applied : AppendStatus.Overtaken
  }

  #storeCall (deadline: number): { readonly purpose: StorePurpose, readonly deadline: number } {
    return { purpose: StorePurpose.Claim, deadline: Math.min(deadline, deadlineAfter(CALL_TIMEOUT_MS)) }
  }
}
