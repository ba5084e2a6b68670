import { desiredEndpointCount, isInService } from '@cyclamenthread/state'
import { PlatformCallStatus } from '@cyclamenthread/protocol'
import { monotonicNow } from '@cyclamenthread/transport'
import { LogEvent } from './event-log.js'
import type { LeaderLease } from '@cyclamenthread/protocol'
import type { PeakDemand } from '@cyclamenthread/state'
import type { Duty, DutyContext } from './duty-context.js'

/** Delay before an order that failed is sent again, in milliseconds. */
const RETRY_DELAY_MS = 1_500

/** Orders from the platform the number of endpoints that each declared service needs in each failure domain. */
export class CapacityDuty implements Duty {
  readonly #context: DutyContext
  readonly #orderedCounts = new Map<string, number>()
  readonly #retryAt = new Map<string, number>()

  constructor (context: DutyContext) {
    this.#context = context
  }

  reset (): void {
    this.#orderedCounts.clear()
  }

  /** Returns the samples that a service's training steps submit at once, and the capacity that is ready for them. */
  #pendingSamples (service: string, failureDomain: string): PeakDemand {
    const { demand, deployment } = this.#context
    const ready = deployment.endpointTable.endpointsOfService(service).filter(isInService).map((record) => record.entry)
    return {
      samples: demand.samplesByModel(service, monotonicNow()),
      slots: Math.max(1, ...ready.map((entry) => entry.slots)),
      running: ready.filter((entry) => entry.failureDomain === failureDomain).length
    }
  }

  async runOnce (lease: () => LeaderLease | undefined): Promise<void> {
    for (const service of this.#context.deployment.routeTable?.declaration.services ?? []) {
      for (const failureDomain of Object.keys(service.capacity?.prices ?? {})) {
        const count = desiredEndpointCount(service, failureDomain, this.#pendingSamples(service.name, failureDomain))
        const name = `${service.name}/${failureDomain}`
        if (count === undefined || this.#orderedCounts.get(name) === count || monotonicNow() < (this.#retryAt.get(name) ?? 0)) continue
        const held = lease()
        if (held === undefined) return
        const status = await this.#context.platform.orderCapacity({ service: service.name, failureDomain, count, cheap: false }, held)
        this.#context.log.record(LogEvent.CapacityOrdered, { service: service.name, failureDomain, count, fence: held.fence, outcome: status, ...held.course })
        if (status === PlatformCallStatus.Done) this.#orderedCounts.set(name, count)
        else this.#retryAt.set(name, monotonicNow() + RETRY_DELAY_MS)
      }
    }
  }
}
