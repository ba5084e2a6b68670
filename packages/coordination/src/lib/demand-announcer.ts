import { PeerMessageKind } from '@cyclamenthread/protocol'
import { monotonicNow } from '@cyclamenthread/transport'
import { DUTIES_LEASE, DUTY_CANDIDATES } from './leader-task.js'
import { leaseCandidates } from './lease-candidate.js'
import { taskService } from './task.js'
import type { ServiceSchema } from 'moleculer'
import type { RolloutOrder, StepDemand, StepSize } from '@cyclamenthread/state'
import type { LeaderLocation } from './lease-candidate.js'
import type { MemberView } from './member-task.js'
import type { MessageBus } from './message-bus.js'

/** Hosts beyond the candidates that are told, so that one that has just become a candidate knows already. */
const SPARE_CANDIDATES = 1

/** What the notice works with. */
export interface DemandAnnouncerContext {
  readonly hostId: string
  readonly members: MemberView
  readonly bus: MessageBus
  readonly demand: StepDemand
  /** Where the leader of the duties should be. */
  readonly location: LeaderLocation
}

/** The size of a step; where a trainer estimates no length of a sample, its bound counts. */
function stepSizeOf ({ samples }: RolloutOrder): StepSize {
  const tokens = samples.reduce((sum, sample) => sum + (sample.expectedTokens > 0 ? sample.expectedTokens : sample.tokens), 0)
  return { tokens, samples: samples.length }
}

/**
 * Tells the hosts that may lead the duties what each accepted rollout brings in
 * work. A notice that is lost costs a worse share of the endpoints until the next.
 */
export class DemandAnnouncer {
  readonly #context: DemandAnnouncerContext

  constructor (context: DemandAnnouncerContext) {
    this.#context = context
  }

  /** The broker service that takes other hosts' notices. */
  service (): ServiceSchema {
    return taskService('demand', {
      [PeerMessageKind.ReportDemand]: async ({ service, model, tokens, samples }) => {
        this.#context.demand.recordStep(service, model, { tokens, samples }, monotonicNow())
        return { accepted: true }
      }
    })
  }

  /** Tells of a rollout that was accepted here. */
  announce (order: RolloutOrder): void {
    const { hostId, members, bus, demand, location: place } = this.#context
    const { service, model } = order
    const size = stepSizeOf(order)
    for (const host of leaseCandidates(DUTIES_LEASE, members.workers(), place, DUTY_CANDIDATES + SPARE_CANDIDATES)) {
      if (host.id === hostId) demand.recordStep(service, model, size, monotonicNow())
      else void bus.post(host, { kind: PeerMessageKind.ReportDemand, service, model, ...size })
    }
  }
}
