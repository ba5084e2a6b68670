import { createHash } from 'node:crypto'
import type { Decision } from './cell-event.js'

/** Hash before the first record of a chain. */
export const CHAIN_START = '0'.repeat(64)

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
function hashOf (record: Omit<ChainedDecision, 'hash'>): string {
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
  #head = CHAIN_START

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
    const record = { ...body, hash: hashOf(body) }
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
export function findBreak (records: readonly ChainedDecision[]): number | undefined {
  let before: ChainedDecision | undefined
  for (const record of records) {
    const follows = before === undefined || (record.previous === before.hash && record.sequence === before.sequence + 1)
    if (!follows || hashOf(record) !== record.hash) return record.sequence
    before = record
  }
  return undefined
}
