import { DecisionKind, unreachable } from '@cyclamenthread/state'
import type { ChainedDecision, Decision } from '@cyclamenthread/state'

/** One decision on the request. */
export interface ExplainedStep {
  /** Milliseconds since 1970. */
  readonly at: number
  readonly chain: string
  readonly sequence: number
  readonly kind: DecisionKind
  readonly endpoint: string
  readonly waiting: number
  readonly reason: string
}

/** Another request that was given an endpoint while this one waited. */
export interface ServedBefore {
  readonly requestId: string
  readonly workspace: string
  readonly class: string
  readonly entry: string
  readonly endpoint: string
  readonly at: number
  readonly reason: string
}

/** What the records tell of a request. */
export interface Explanation {
  readonly requestId: string
  readonly workspace: string
  readonly entry: string
  /** Whether every host answered for its records. */
  readonly complete: boolean
  readonly steps: readonly ExplainedStep[]
  readonly servedBefore: readonly ServedBefore[]
}

/** The stretch of a chain over which a request waited. */
export interface QueueInterval {
  readonly chain: string
  readonly from: number
  readonly to: number
}

/**
 * The stretches over which a request waited, one a chain that it was queued in.
 *
 * @example
 * waitsOf(records) // [{ chain: 'host-1/ab12', from: 7, to: 19 }]
 */
export function findQueueIntervals (ownRecords: readonly ChainedDecision[]): QueueInterval[] {
  const chains = [...new Set(ownRecords.map((record) => record.chain))]
  return chains.flatMap((chain) => {
    const records = ownRecords.filter((record) => record.chain === chain).sort((a, b) => a.sequence - b.sequence)
    const queued = records.find((record) => record.decision.kind === DecisionKind.Queued)
    const ended = records.find((record) => record.decision.kind !== DecisionKind.Queued)
    return queued === undefined || ended === undefined ? [] : [{ chain, from: queued.sequence, to: ended.sequence }]
  })
}

/**
 * Explains a request from decision records.
 *
 * @param requestId id of the request
 * @param ownRecords the records on the request
 * @param surroundingRecords the records of the chains while it waited
 * @param complete whether every host answered
 */
export function explainRequest (requestId: string, ownRecords: readonly ChainedDecision[], surroundingRecords: readonly ChainedDecision[], complete: boolean): Explanation {
  const ordered = [...ownRecords].sort((a, b) => a.at - b.at || a.sequence - b.sequence)
  const first = ordered[0]?.decision
  const ids = new Set(ownRecords.map((record) => record.decision.requestId))
  // A cell's endpoints serve one pool, so the endpoints granted to requests of the same entry mark the rivals.
  const endpoints = new Set(surroundingRecords.filter((record) => record.decision.entry === first?.entry).map((record) => record.decision.endpoint))
  const isCompeting = (decision: Decision): boolean => decision.entry === first?.entry || endpoints.has(decision.endpoint)
  const servedBefore = surroundingRecords
    .filter((record) => record.decision.kind === DecisionKind.Granted && !ids.has(record.decision.requestId) && isCompeting(record.decision))
    .map(toServedBefore)
  return { requestId, workspace: first?.workspace ?? '', entry: first?.entry ?? '', complete, steps: ordered.map(toExplainedStep), servedBefore }
}

function toExplainedStep ({ at, chain, sequence, decision }: ChainedDecision): ExplainedStep {
  return { at, chain, sequence, kind: decision.kind, endpoint: decision.endpoint, waiting: decision.waiting, reason: decision.reason }
}

function toServedBefore ({ at, decision }: ChainedDecision): ServedBefore {
  const { requestId, workspace, entry, endpoint, reason } = decision
  return { requestId, workspace, class: decision.class, entry, endpoint, at, reason }
}

/** An explanation as lines for people. */
export function renderExplanation (explanation: Explanation): string[] {
  const { requestId, workspace, entry, steps, servedBefore, complete } = explanation
  return [
    `request ${requestId} of workspace ${workspace} for entry ${entry}`,
    ...steps.map((step) => `  ${new Date(step.at).toISOString()}  ${formatStep(step)}  [${step.chain} #${step.sequence}]`),
    servedBefore.length === 0 ? 'no other request was served while it waited' : `${servedBefore.length} requests were served while it waited:`,
    ...servedBefore.map((other) => `  ${other.requestId} of workspace ${other.workspace} (${other.class}, ${other.entry}) on ${other.endpoint}: ${other.reason}`),
    ...(complete ? [] : ['not every host answered: records may be missing'])
  ]
}

function formatStep ({ kind, endpoint, waiting, reason }: ExplainedStep): string {
  switch (kind) {
    case DecisionKind.Queued: return `joined the queue with ${waiting} waiting: ${reason}`
    case DecisionKind.Granted: return `was given ${endpoint} with ${waiting} waiting: ${reason}`
    case DecisionKind.Refused: return `was refused with ${waiting} waiting: ${reason}`
    case DecisionKind.Cancelled: return `was cancelled with ${waiting} waiting: ${reason}`
    case DecisionKind.Released: return `left ${endpoint}: ${reason}`
    default: return unreachable(kind)
  }
}
