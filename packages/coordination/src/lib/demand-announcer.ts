import { PeerMessageKind } from '@cyclamenthread/protocol'
import { monotonicNow } from '@cyclamenthread/transport'
import { DUTIES_LEASE, DUTY_CANDIDATES } from './leader-task.js'
import { leaseCandidates } from './lease-candidate.js'
import { responsiveWorkers } from './responsive-workers.js'
import { taskService } from './task.js'
import type { ServiceSchema } from 'moleculer'
import type { RolloutOrder, StepDemand, StepSize } from '@cyclamenthread/state'
import type { LeaderLocation } from './lease-candidate.js'
import type { MemberView } from './member-task.js'
import type { MessageBus } from './message-bus.js'

/** Additional hosts that receive announcements, so that a host that becomes a candidate already has the data. */
const SPARE_CANDIDATES = 1

/** Dependencies of the announcer. */
export interface DemandAnnouncerContext {
  readonly hostId: string
  readonly members: MemberView
  readonly bus: MessageBus
  readonly demand: StepDemand
  /** Preferred location of the leader that runs the duties. */
  readonly location: LeaderLocation
}

/** Computes the size of a training step; a sample without an expected length counts with its token bound. */
function stepSizeOf ({ samples }: RolloutOrder): StepSize {
  const tokens = samples.reduce((sum, sample) => sum + (sample.expectedTokens > 0 ? sample.expectedTokens : sample.tokens), 0)
  return { tokens, samples: samples.length }
}

/**
 * Announces the amount of work of each accepted rollout to the hosts that may
 * lead the duties. If an announcement is lost, the model has a less accurate
 * share of the endpoints until the next one.
 */
export class DemandAnnouncer {
  readonly #context: DemandAnnouncerContext

  constructor (context: DemandAnnouncerContext) {
    this.#context = context
  }

  /** Returns the broker service that receives other hosts' announcements. */
  service (): ServiceSchema {
    return taskService('demand', {
      [PeerMessageKind.ReportDemand]: async ({ service, model, tokens, samples }) => {
        this.#context.demand.recordStep(service, model, { tokens, samples }, monotonicNow())
        return { accepted: true }
      }
    })
  }

  /** Announces a rollout that this host accepted. */
  announce (order: RolloutOrder): void {
    const { hostId, members, bus, demand, location } = this.#context
    const { service, model } = order
    const size = stepSizeOf(order)
    for (const host of leaseCandidates(DUTIES_LEASE, responsiveWorkers(members), location, DUTY_CANDIDATES + SPARE_CANDIDATES)) {
      if (host.id === hostId) demand.recordStep(service, model, size, monotonicNow())
      else void bus.post(host, { kind: PeerMessageKind.ReportDemand, service, model, ...size })
    }
  }
}
