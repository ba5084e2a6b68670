import { partitionIntoCells } from '@cyclamenthread/state'
import { PeerMessageKind } from '@cyclamenthread/protocol'
import { deadlineAfter, monotonicNow } from '@cyclamenthread/transport'
import { cellOwner } from './dispatcher-task.js'
import type { CellSummary, Host } from '@cyclamenthread/state'
import type { CatalogueSource } from './catalogue-task.js'
import type { MemberView } from './member-task.js'
import type { MessageBus } from './message-bus.js'

/** Shortest time between two collection rounds, in milliseconds. */
const MIN_ROUND_MS = 500

/** Period added for each host asked, so that the leader's request rate does not grow with the fleet, in milliseconds. */
const ROUND_MS_PER_HOST = 50

/** Longest wait for one host's answer, in milliseconds. */
const ANSWER_TIMEOUT_MS = 500

/** Current load of a pool: busy slots and queued requests. */
export interface PoolDemand {
  readonly busySlots: number
  readonly waiting: number
}

/** Collects the summaries of the cells of all regions for the leader that orders endpoints. */
export class PoolDemandCollector {
  readonly #members: MemberView
  readonly #catalogue: CatalogueSource
  readonly #bus: Pick<MessageBus, 'send'>
  readonly #summaries = new Map<string, CellSummary>()
  #nextRoundAt = -Infinity

  constructor (members: MemberView, catalogue: CatalogueSource, bus: Pick<MessageBus, 'send'>) {
    this.#members = members
    this.#catalogue = catalogue
    this.#bus = bus
  }

  /** Asks the owners of all cells for their summaries, if the next round is due. */
  async collectIfDue (): Promise<void> {
    const now = monotonicNow()
    const view = this.#catalogue.current()
    if (now < this.#nextRoundAt || view === undefined) return
    const workers = this.#members.workers()
    const placements = partitionIntoCells(view)
    const owners = new Map(placements.flatMap((placement): Array<[string, Host]> => {
      const owner = cellOwner(placement, workers)
      return owner === undefined ? [] : [[owner.id, owner]]
    }))
    this.#nextRoundAt = now + Math.max(MIN_ROUND_MS, owners.size * ROUND_MS_PER_HOST)
    const answers = await Promise.all([...owners.values()].map(async (host) => {
      return await this.#bus.send(host, { kind: PeerMessageKind.SummariseCells }, { deadline: deadlineAfter(ANSWER_TIMEOUT_MS) })
    }))
    const names = new Set(placements.map((placement) => placement.name))
    for (const answer of answers) {
      for (const summary of answer.ok ? answer.value.cells : []) this.#summaries.set(summary.cell, summary)
    }
    for (const name of this.#summaries.keys()) {
      if (!names.has(name)) this.#summaries.delete(name)
    }
  }

  /** Sums the demand of a pool over the latest known summaries of its cells. */
  demandOf (pool: string): PoolDemand {
    const own = [...this.#summaries.values()].filter((summary) => summary.cell.startsWith(`${pool}/`))
    return {
      busySlots: own.reduce((sum, summary) => sum + summary.totalSlots - summary.freeSlots, 0),
      waiting: own.reduce((sum, summary) => sum + summary.waiting, 0)
    }
  }
}
