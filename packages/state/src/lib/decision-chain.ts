import { createHash } from 'node:crypto'
import type { Decision } from './cell-event.js'

/** Previous hash of the first record of a chain. */
export const GENESIS_HASH = '0'.repeat(64)

/** A decision as a record of its dispatcher's hash chain. */
export interface ChainedDecision {
  readonly chain: string
  readonly sequence: number
  /** Wall-clock time in milliseconds since 1970, for display only; `sequence` gives the order. */
  readonly at: number
  readonly decision: Decision
  readonly previous: string
  readonly hash: string
}

/** Hashes a record together with the previous hash, so that a changed, removed or moved record is detected. */
function hashRecord (record: Omit<ChainedDecision, 'hash'>): string {
  const { chain, sequence, at, decision, previous } = record
  const fields = [
    chain, sequence, at, decision.kind, decision.requestId, decision.workspace, decision.entry,
    decision.class, decision.endpoint, decision.waiting, decision.reason, previous
  ]
  return createHash('sha256').update(JSON.stringify(fields)).digest('hex')
}

/**
 * Builds the hash chain of a dispatcher's decisions.
 *
 * Invariant: sequence numbers have no gaps, and each record contains the hash of the previous one.
 */
export class DecisionChain {
  readonly #chain: string
  #sequence = 0
  #head = GENESIS_HASH

  constructor (chain: string) {
    this.#chain = chain
  }

  /** Sequence number of the last record. */
  get sequence (): number {
    return this.#sequence
  }

  /** Hash of the last record. */
  get head (): string {
    return this.#head
  }

  /**
   * Appends a decision.
   *
   * @param decision the decision
   * @param at wall-clock time in milliseconds since 1970
   * @example
   * chain.append(decision, Date.now()).hash
   */
  append (decision: Decision, at: number): ChainedDecision {
    this.#sequence += 1
    const body = { chain: this.#chain, sequence: this.#sequence, at, decision, previous: this.#head }
    const record = { ...body, hash: hashRecord(body) }
    this.#head = record.hash
    return record
  }
}

/**
 * Finds the first record that does not continue its chain.
 *
 * @param records consecutive records of one chain
 * @returns the sequence number of that record, or undefined if the chain is intact
 * @example
 * findBrokenRecord(records) // undefined: the chain is intact
 */
export function findBrokenRecord (records: readonly ChainedDecision[]): number | undefined {
  let before: ChainedDecision | undefined
  for (const record of records) {
    const follows = before === undefined || (record.previous === before.hash && record.sequence === before.sequence + 1)
    if (!follows || hashRecord(record) !== record.hash) return record.sequence
    before = record
  }
  return undefined
}

/** Last hash of a chain that was committed to the ledger. */
export interface ChainCheckpoint {
  readonly sequence: number
  readonly hash: string
}

/** Result of checking the stored records of a chain. */
export type ChainCheckResult =
  /** No record was changed, removed or moved; records before `from` were removed by log rotation. */
  | { readonly kind: 'whole', readonly from: number, readonly to: number }
  /** The record with that sequence number was changed, or one before it is missing or was moved. */
  | { readonly kind: 'broken', readonly sequence: number }
  /** Records up to `expected` were written, but those after `to` are missing. */
  | { readonly kind: 'truncated', readonly to: number, readonly expected: number }
  /** The chain is consistent, but its hash differs from the one in the ledger. */
  | { readonly kind: 'forged', readonly sequence: number }

/**
 * Verifies the stored records of a chain against the hash in the ledger: whoever
 * rewrites the whole chain would have to rewrite the ledger, too.
 *
 * @param records the records in the order in which they were stored
 * @param checkpoint the last committed hash; undefined if there is none
 * @example
 * verifyChain(records, { sequence: 120, hash }).kind // 'whole'
 */
export function verifyChain (records: readonly ChainedDecision[], checkpoint: ChainCheckpoint | undefined): ChainCheckResult {
  const broken = findBrokenRecord(records)
  if (broken !== undefined) return { kind: 'broken', sequence: broken }
  const from = records[0]?.sequence ?? 1
  const to = records.at(-1)?.sequence ?? 0
  if (checkpoint === undefined) return { kind: 'whole', from, to }
  if (to < checkpoint.sequence) return { kind: 'truncated', to, expected: checkpoint.sequence }
  const checkpointRecord = records.find((record) => record.sequence === checkpoint.sequence)
  if (checkpointRecord !== undefined && checkpointRecord.hash !== checkpoint.hash) return { kind: 'forged', sequence: checkpoint.sequence }
  return { kind: 'whole', from, to }
}
