import * as z from 'zod'
import { success } from '@cyclamenthread/state'
import { ExpectationKind, HELD_REQUESTS_PREFIX, StorePurpose, WriteStatus } from '@cyclamenthread/protocol'
import { deadlineAfter } from '@cyclamenthread/transport'
import type { CrashRecord, Outcome, TrialState } from '@cyclamenthread/state'
import type { ObjectStore, StoreCall, StoredObject, StoreFailure } from '@cyclamenthread/protocol'

/** Timeout of one store call, in milliseconds. */
const CALL_TIMEOUT_MS = 1_000

/** Number of attempts to remove an object that others change meanwhile. */
const REMOVAL_ATTEMPTS = 4

const heldRequestSchema = z.object({
  target: z.string(),
  trials: z.object({ count: z.int().nonnegative(), lateCount: z.int().nonnegative() }),
  crashes: z.array(z.object({ endpointId: z.string(), bornAt: z.number(), isConfirmed: z.boolean() }))
})

/** A request that is held back, or about to be, as the store holds it. */
export type HeldRequest = z.infer<typeof heldRequestSchema> & { readonly digest: string }

/** Kinds of answers to a host that wants to run a trial. */
export enum TrialGrantKind {
  Granted = 'granted',
  /** Other hosts have taken trials that this host didn't know of. */
  Taken = 'taken',
  /** The store gave no usable answer. */
  Unavailable = 'unavailable'
}

/** The answer to a host that wants to run a trial. */
export type TrialGrant =
  | { readonly kind: TrialGrantKind.Granted | TrialGrantKind.Unavailable }
  | { readonly kind: TrialGrantKind.Taken, readonly trials: HeldRequest['trials'] }

/**
 * Requests that are held back, in the store: so they stay held back when all hosts
 * restart, and hosts that don't reach each other take no more trials than one would.
 */
export class HeldRequestStore {
  readonly #store: ObjectStore

  constructor (store: ObjectStore) {
    this.#store = store
  }

  /** Reads all requests that are held back. */
  async list (): Promise<Outcome<readonly HeldRequest[], StoreFailure>> {
    const listed = await this.#store.list(HELD_REQUESTS_PREFIX, storeCall())
    return listed.ok ? success(listed.value.flatMap((object) => decode(object) ?? [])) : listed
  }

  /**
   * Stores what speaks against a request, unless the store holds it already.
   *
   * @returns whether the store holds it now
   */
  async create (record: CrashRecord): Promise<boolean> {
    const { status } = await this.#store.write(keyOf(record.digest), valueOf(record, record.trials), { kind: ExpectationKind.Absent }, storeCall())
    return status === WriteStatus.Applied || status === WriteStatus.Conflict
  }

  /** Updates what speaks against a request; its trials stay. */
  async update (record: CrashRecord): Promise<void> {
    const found = await this.#store.read(keyOf(record.digest), storeCall())
    const trials = found.ok && found.value !== undefined ? decode(found.value)?.trials : undefined
    if (found.ok && found.value !== undefined) await this.#writeTrials(found.value, record, trials ?? record.trials)
  }

  /**
   * Takes the next trial of a request, unless another host has taken it.
   *
   * @param next the trials including this one
   */
  async takeTrial (record: CrashRecord, next: TrialState): Promise<TrialGrant> {
    const found = await this.#store.read(keyOf(record.digest), storeCall())
    if (!found.ok) return { kind: TrialGrantKind.Unavailable }
    if (found.value === undefined) {
      // Even if the request has completed elsewhere, a trial is the way to find out.
      const { status } = await this.#store.write(keyOf(record.digest), valueOf(record, next), { kind: ExpectationKind.Absent }, storeCall())
      return { kind: status === WriteStatus.Applied ? TrialGrantKind.Granted : TrialGrantKind.Unavailable }
    }
    const trials = decode(found.value)?.trials
    if (trials !== undefined && trials.count >= next.count) return { kind: TrialGrantKind.Taken, trials }
    return { kind: await this.#writeTrials(found.value, record, next) ? TrialGrantKind.Granted : TrialGrantKind.Unavailable }
  }

  /**
   * Gives back the last trial, in which the request did not run.
   *
   * @param taken the trials including that one
   * @param before the trials without it
   */
  async returnTrial (record: CrashRecord, taken: TrialState, before: TrialState): Promise<boolean> {
    const found = await this.#store.read(keyOf(record.digest), storeCall())
    const isLast = found.ok && found.value !== undefined && decode(found.value)?.trials.count === taken.count
    return isLast && await this.#writeTrials(found.value, record, before)
  }

  /** Removes a request that isn't held back any more, even if another host takes a trial meanwhile. */
  async remove (digest: string): Promise<void> {
    for (let attempt = 0; attempt < REMOVAL_ATTEMPTS; attempt += 1) {
      const found = await this.#store.read(keyOf(digest), storeCall())
      if (!found.ok || found.value === undefined) return
      const { status } = await this.#store.remove(keyOf(digest), found.value.version, storeCall())
      if (status !== WriteStatus.Conflict) return
    }
  }

  async #writeTrials ({ key, version }: StoredObject, record: CrashRecord, trials: Omit<TrialState, 'lastAt'>): Promise<boolean> {
    const { status } = await this.#store.write(key, valueOf(record, trials), { kind: ExpectationKind.Version, version }, storeCall())
    return status === WriteStatus.Applied
  }
}

function keyOf (digest: string): string {
  return HELD_REQUESTS_PREFIX + digest
}

function valueOf ({ target, sightings }: CrashRecord, { count, lateCount }: Omit<TrialState, 'lastAt'>): z.infer<typeof heldRequestSchema> {
  const crashes = sightings.map(({ endpointId, bornAt, isConfirmed }) => ({ endpointId, bornAt, isConfirmed }))
  return { target, trials: { count, lateCount }, crashes }
}

function decode ({ key, value }: StoredObject): HeldRequest | undefined {
  const held = heldRequestSchema.safeParse(value).data
  return held === undefined ? undefined : { ...held, digest: key.slice(key.lastIndexOf('/') + 1) }
}

function storeCall (): StoreCall {
  return { purpose: StorePurpose.Other, deadline: deadlineAfter(CALL_TIMEOUT_MS) }
}
