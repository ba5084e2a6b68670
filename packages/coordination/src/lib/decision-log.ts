import { DecisionChain } from '@cyclamenthread/state'
import { PeerMessageKind } from '@cyclamenthread/protocol'
import { taskService } from './task.js'
import type { ServiceSchema } from 'moleculer'
import type { ChainedDecision, ChainCheckpoint, Decision } from '@cyclamenthread/state'
import type { HostSettings } from './host-settings.js'

/** Decisions kept in memory for `explain` requests. */
const MAX_RECENT_DECISIONS = 20_000

/** Decisions that may wait to be sent to a replica host; older ones are dropped. */
const MAX_UNSHIPPED_DECISIONS = 20_000

/** Receives decisions. */
export interface DecisionSink {
  /** Appends a decision to the chain of this process. */
  record (decision: Decision): void
}

/** Finds decisions of a request that are stored outside this process's memory. */
export type DecisionSearch = (requestId: string) => Promise<readonly ChainedDecision[]>

/** Gives access to the recent decisions of this process. */
export interface DecisionSource {
  /** Reads records of this process's chain after a sequence number, in order. */
  readPage (after: number, limit: number): Promise<ChainedDecision[]>
}

/**
 * Hash-chains the decisions of this process and answers `explain` requests.
 *
 * Invariant: every decision is in exactly one chain, at exactly one position.
 */
export class DecisionLog implements DecisionSink, DecisionSource {
  readonly #chain: DecisionChain
  readonly #chainName: string
  #recent: ChainedDecision[] = []
  #unshipped: ChainedDecision[] = []
  #searchArchive: DecisionSearch | undefined
  /** Number of decisions dropped because too many waited for a replica host. */
  dropped = 0

  constructor (settings: HostSettings) {
    this.#chainName = `${settings.self.id}/${settings.incarnation}`
    this.#chain = new DecisionChain(this.#chainName)
  }

  /** Creates the broker service that answers `explain` requests. */
  service (): ServiceSchema {
    return taskService('decisions', {
      [PeerMessageKind.ReadRequestDecisions]: async (message) => ({ records: await this.#explain(message.requestId) })
    })
  }

  record (decision: Decision): void {
    const record = this.#chain.append(decision, Date.now())
    this.#recent.push(record)
    this.#unshipped.push(record)
    if (this.#recent.length > 2 * MAX_RECENT_DECISIONS) this.#recent = this.#recent.slice(-MAX_RECENT_DECISIONS)
    if (this.#unshipped.length <= 2 * MAX_UNSHIPPED_DECISIONS) return
    this.dropped += this.#unshipped.length - MAX_UNSHIPPED_DECISIONS
    this.#unshipped = this.#unshipped.slice(-MAX_UNSHIPPED_DECISIONS)
  }

  async readPage (after: number, limit: number): Promise<ChainedDecision[]> {
    const start = this.#recent.findIndex((record) => record.sequence > after)
    return start < 0 ? [] : this.#recent.slice(start, start + limit)
  }

  /** Name of this process's chain, with its last sequence number and hash. */
  get head (): ChainCheckpoint & { readonly chain: string } {
    return { chain: this.#chainName, sequence: this.#chain.sequence, hash: this.#chain.head }
  }

  /** Returns the oldest decisions that no replica host has stored yet. */
  oldestUnshipped (limit: number): ChainedDecision[] {
    return this.#unshipped.slice(0, limit)
  }

  /** Marks all decisions up to a sequence number as stored by a replica host. */
  markShipped (last: number): void {
    this.#unshipped = this.#unshipped.filter((record) => record.sequence > last)
  }

  /** Sets the search over archived decisions that `explain` includes. */
  setArchiveSearch (search: DecisionSearch): void {
    this.#searchArchive = search
  }

  /** Returns the decisions of a request from memory and from the archive, without duplicates. */
  async #explain (requestId: string): Promise<ChainedDecision[]> {
    const belongsToRequest = (id: string): boolean => id === requestId || id.startsWith(`${requestId}/`)
    const found = new Map<string, ChainedDecision>()
    for (const record of [...this.#recent, ...await this.#searchArchive?.(requestId) ?? []]) {
      if (belongsToRequest(record.decision.requestId)) found.set(`${record.chain}/${record.sequence}`, record)
    }
    return [...found.values()]
  }
}
