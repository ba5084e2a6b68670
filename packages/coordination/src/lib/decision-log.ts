import { DecisionChain } from '@cyclamenthread/state'
import { PeerMessageKind } from '@cyclamenthread/protocol'
import { taskService } from './task.js'
import type { ServiceSchema } from 'moleculer'
import type { ChainedDecision, Decision } from '@cyclamenthread/state'
import type { HostSettings } from './host-settings.js'

/** Decision records kept in memory for `explain`. */
const KEPT_DECISIONS = 50_000

/** Where decisions go. */
export interface DecisionSink {
  /** Appends a decision to the chain of this process. */
  record (decision: Decision): void
}

/** The decisions this process keeps. */
export interface DecisionSource {
  /** Records of the chain of this process after a sequence number, in order. */
  page (after: number, limit: number): Promise<ChainedDecision[]>
}

/**
 * Chains the decisions of this process and answers for them.
 *
 * Invariant: every decision is in exactly one chain, at exactly one place.
 */
export class DecisionLog implements DecisionSink, DecisionSource {
  readonly #chain: DecisionChain
  #records: ChainedDecision[] = []

  constructor (settings: HostSettings) {
    this.#chain = new DecisionChain(`${settings.self.id}/${settings.incarnation}`)
  }

  /** The broker service that answers for decisions. */
  service (): ServiceSchema {
    return taskService('decisions', {
      [PeerMessageKind.ExplainRequest]: async (message) => ({ records: this.#explain(message.requestId) })
    })
  }

  record (decision: Decision): void {
    this.#records.push(this.#chain.append(decision, Date.now()))
    if (this.#records.length > 2 * KEPT_DECISIONS) this.#records = this.#records.slice(-KEPT_DECISIONS)
  }

  async page (after: number, limit: number): Promise<ChainedDecision[]> {
    const start = this.#records.findIndex((record) => record.sequence > after)
    return start < 0 ? [] : this.#records.slice(start, start + limit)
  }

  #explain (requestId: string): ChainedDecision[] {
    const isOf = (id: string): boolean => id === requestId || id.startsWith(`${requestId}/`)
    return this.#records.filter((record) => isOf(record.decision.requestId))
  }
}
