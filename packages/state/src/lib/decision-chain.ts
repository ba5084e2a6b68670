import { createHash } from 'node:crypto'
import type { Decision } from './cell-event.js'

/** Hash before the first record of a chain. */
export const GENESIS_HASH = '0'.repeat(64)

/** A decision at its place in the chain of one dispatcher. */
export interface ChainedDecision {
  readonly chain: string
  readonly sequence: number
  /** Wall-clock time in milliseconds since 1970, for people; the order is the sequence. */
  readonly at: number
  readonly decision: Decision
  readonly previous: string
  readonly hash: string
}

/** The hash of a record: it covers the one before, so none can be changed, removed or moved unnoticed. */
function hashRecord (record: Omit<ChainedDecision, 'hash'>): string {
  const { chain, sequence, at, decision, previous } = record
  const fields = [
    chain, sequence, at, decision.kind, decision.requestId, decision.workspace, decision.entry,
    decision.class, decision.endpoint, decision.waiting, decision.reason, previous
  ]
  return createHash('sha256').update(JSON.stringify(fields)).digest('hex')
}

/**
 * Builds the hash chain of one dispatcher's decisions.
 *
 * Invariant: sequences have no gap and each record names the hash of the one before.
 */
export class DecisionChain {
  readonly #chain: string
  #sequence = 0
  #head = GENESIS_HASH

  constructor (chain: string) {
    this.#chain = chain
  }

  /** The last sequence number given. */
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
   * @param decision what was decided
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
 * Checks a run of records of one chain.
 *
 * @param records the records in their order
 * @returns the sequence of the first record that does not fit, or undefined when all do
 * @example
 * findBreak(records) // undefined: the chain is whole
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

/** The last hash of a chain that the ledger holds. */
export interface ChainCheckpoint {
  readonly sequence: number
  readonly hash: string
}

/** What a check of the kept records of one chain found. */
export type ChainCheckResult =
  /** Nothing was changed, removed or moved; what was kept before `from` has been rotated out. */
  | { readonly kind: 'whole', readonly from: number, readonly to: number }
  /** The record of that sequence was changed, or one before it is missing or moved. */
  | { readonly kind: 'broken', readonly sequence: number }
  /** Records up to `expected` were made, and those after `to` are missing. */
  | { readonly kind: 'truncated', readonly to: number, readonly expected: number }
  /** The chain fits together, but it is not the one whose hash the ledger holds. */
  | { readonly kind: 'forged', readonly sequence: number }

/**
 * Checks the kept records of one chain against the hash that the ledger holds:
 * whoever rewrites a chain whole would have to rewrite the ledger too.
 *
 * @param records the records in the order in which they were kept
 * @param checkpoint the last hash committed; undefined when none was
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
