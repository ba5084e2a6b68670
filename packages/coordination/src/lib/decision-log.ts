import { DecisionChain } from '@cyclamenthread/state'
import { PeerMessageKind } from '@cyclamenthread/protocol'
import { taskService } from './task.js'
import type { ServiceSchema } from 'moleculer'
import type { ChainedDecision, ChainCheckpoint, Decision } from '@cyclamenthread/state'
import type { HostSettings } from './host-settings.js'

/** Decision records kept in memory for `explain`. */
const MAX_RECENT_DECISIONS = 20_000

/** Decisions that may wait for a host that keeps them; older ones are given up. */
const MAX_UNSHIPPED_DECISIONS = 20_000

/** Where decisions go. */
export interface DecisionSink {
  /** Appends a decision to the chain of this process. */
  record (decision: Decision): void
}

/** Finds decisions that are kept elsewhere than in memory. */
export type DecisionSearch = (requestId: string) => Promise<readonly ChainedDecision[]>

/** The decisions this process keeps. */
export interface DecisionSource {
  /** Records of the chain of this process after a sequence number, in order. */
  readPage (after: number, limit: number): Promise<ChainedDecision[]>
}

/**
 * Chains the decisions of this process and answers for them.
 *
 * Invariant: every decision is in exactly one chain, at exactly one place.
 */
export class DecisionLog implements DecisionSink, DecisionSource {
  readonly #chain: DecisionChain
  readonly #chainName: string
  #recent: ChainedDecision[] = []
  #unshipped: ChainedDecision[] = []
  #searchArchive: DecisionSearch | undefined
  /** Decisions that waited for a keeper until there were too many. */
  dropped = 0

  constructor (settings: HostSettings) {
    this.#chainName = `${settings.self.id}/${settings.incarnation}`
    this.#chain = new DecisionChain(this.#chainName)
  }

  /** The broker service that answers for decisions. */
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

  /** The chain of this process and its last hash. */
  get head (): ChainCheckpoint & { readonly chain: string } {
    return { chain: this.#chainName, sequence: this.#chain.sequence, hash: this.#chain.head }
  }

  /** The oldest decisions that no host keeps yet. */
  oldestUnshipped (limit: number): ChainedDecision[] {
    return this.#unshipped.slice(0, limit)
  }

  /** Takes note that the oldest decisions are kept. */
  markShipped (last: number): void {
    this.#unshipped = this.#unshipped.filter((record) => record.sequence > last)
  }

  /** Adds a place where `explain` looks. */
  setArchiveSearch (search: DecisionSearch): void {
    this.#searchArchive = search
  }

  /** Decisions of a request from memory and from what is kept, each once. */
  async #explain (requestId: string): Promise<ChainedDecision[]> {
    const isOf = (id: string): boolean => id === requestId || id.startsWith(`${requestId}/`)
    const found = new Map<string, ChainedDecision>()
    for (const record of [...this.#recent, ...await this.#searchArchive?.(requestId) ?? []]) {
      if (isOf(record.decision.requestId)) found.set(`${record.chain}/${record.sequence}`, record)
    }
    return [...found.values()]
  }
}
