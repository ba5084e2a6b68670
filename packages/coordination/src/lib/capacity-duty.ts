import { CapacityShift, EndpointPhase, isInService, unreachable } from '@cyclamenthread/state'
import { PlatformCallStatus } from '@cyclamenthread/protocol'
import { monotonicNow } from '@cyclamenthread/transport'
import { LogEvent } from './event-log.js'
import type { LeaderLease } from '@cyclamenthread/protocol'
import type { CapacityPlan, DeclaredService, DomainEndpoints, ServiceLoad } from '@cyclamenthread/state'
import type { Duty, DutyContext } from './duty-context.js'

/** Delay before an order that failed is sent again, in milliseconds. */
const RETRY_DELAY_MS = 1_500

/** What became of the order of one failure domain. */
enum OrderStep {
  NotDue = 'not-due',
  Sent = 'sent',
  WithoutLease = 'without-lease'
}

/**
 * Orders from the platform the number of endpoints that each declared service needs in each failure domain;
 * what is missing in some domains is ordered in others ({@link CapacityShift}).
 */
export class CapacityDuty implements Duty {
  readonly #context: DutyContext
  /** Endpoints in the last order of each domain; absent if it isn't known whether the last one took effect. */
  readonly #orderedCounts = new Map<string, number>()
  readonly #retryAt = new Map<string, number>()
  readonly #shifts = new Map<string, CapacityShift>()
  /** Missing endpoints of each service that were logged last. */
  readonly #loggedMissing = new Map<string, string>()
  /** Missing endpoints by service and failure domain; empty while this host doesn't lead. */
  readonly #missing = new Map<string, Readonly<Record<string, number>>>()

  constructor (context: DutyContext) {
    this.#context = context
  }

  reset (): void {
    this.#orderedCounts.clear()
    this.#shifts.clear()
    this.#loggedMissing.clear()
    this.#missing.clear()
  }

  /** Missing endpoints by service and failure domain, `models/leith-walk` for example; empty while this host doesn't lead. */
  missingEndpoints (): Array<readonly [name: string, count: number]> {
    return [...this.#missing].flatMap(([service, missing]) => Object.entries(missing).map(([failureDomain, count]): readonly [string, number] => [`${service}/${failureDomain}`, count]))
  }

  async runOnce (lease: () => LeaderLease | undefined): Promise<void> {
    for (const service of this.#context.deployment.routeTable?.declaration.services ?? []) {
      let plan = this.#plan(service)
      for (const failureDomain of Object.keys(service.capacity?.prices ?? {})) {
        const step = await this.#orderDomain(service, failureDomain, plan, lease)
        if (step === OrderStep.WithoutLease) return
        // An order may take as long as the timeout of the call, and its refusal changes the next ones.
        if (step === OrderStep.Sent) plan = this.#plan(service)
      }
    }
  }

  #plan (service: DeclaredService): CapacityPlan {
    const plan = this.#shift(service.name).plan(service, this.#load(service.name), monotonicNow())
    this.#recordMissing(service.name, plan)
    return plan
  }

  /** Sends the order of a failure domain if it is due. */
  async #orderDomain (service: DeclaredService, failureDomain: string, plan: CapacityPlan, lease: () => LeaderLease | undefined): Promise<OrderStep> {
    const shift = this.#shift(service.name)
    const domain = plan.domains.get(failureDomain)
    const name = `${service.name}/${failureDomain}`
    if (domain?.count === undefined || this.#orderedCounts.get(name) === domain.count || monotonicNow() < (this.#retryAt.get(name) ?? 0)) return OrderStep.NotDue
    const held = lease()
    if (held === undefined) return OrderStep.WithoutLease
    const { count, demand, extra, inService } = domain
    const status = await this.#context.platform.orderCapacity({ service: service.name, failureDomain, count, cheap: false }, held)
    this.#context.log.record(LogEvent.CapacityOrdered, {
      service: service.name, failureDomain, count, demand, extra, inService, missing: listCounts(plan.missing), unplaced: plan.unplaced, fence: held.fence, outcome: status, ...held.course
    })
    switch (status) {
      case PlatformCallStatus.Done:
        this.#orderedCounts.set(name, count)
        shift.recordAccepted(failureDomain, count, monotonicNow())
        return OrderStep.Sent
      case PlatformCallStatus.Refused:
        this.#retryAt.set(name, monotonicNow() + RETRY_DELAY_MS)
        shift.recordRefused(failureDomain, count, monotonicNow())
        return OrderStep.Sent
      case PlatformCallStatus.Failed:
        // It may have taken effect, so the earlier number has to be sent again if it is due.
        this.#orderedCounts.delete(name)
        this.#retryAt.set(name, monotonicNow() + RETRY_DELAY_MS)
        return OrderStep.Sent
      default:
        return unreachable(status)
    }
  }

  #shift (service: string): CapacityShift {
    const known = this.#shifts.get(service) ?? new CapacityShift()
    this.#shifts.set(service, known)
    return known
  }

  /** Returns the samples that a service's training steps submit at once, and the capacity that is there for them. */
  #load (service: string): ServiceLoad {
    const { demand, deployment } = this.#context
    const records = deployment.endpointTable.endpointsOfService(service)
    const domains = new Map<string, DomainEndpoints>([...deployment.endpointTable.evacuatedDomains].map((domain) => [domain, { inService: 0, leaving: 0, isEvacuated: true }]))
    for (const record of records) {
      const { failureDomain, phase } = record.entry
      const { inService, leaving, isEvacuated } = domains.get(failureDomain) ?? { inService: 0, leaving: 0, isEvacuated: false }
      const isLeaving = record.isLeaving || phase === EndpointPhase.Draining
      domains.set(failureDomain, { inService: inService + Number(isInService(record)), leaving: leaving + Number(isLeaving), isEvacuated })
    }
    return {
      samples: demand.samplesByModel(service, monotonicNow()),
      slots: Math.max(1, ...records.filter(isInService).map(({ entry }) => entry.slots)),
      domains
    }
  }

  /** Records which failure domains lack endpoints, and logs it when that changes. */
  #recordMissing (service: string, { missing, unplaced, domains }: CapacityPlan): void {
    this.#missing.set(service, missing)
    const text = JSON.stringify([missing, unplaced])
    const known = this.#loggedMissing.get(service)
    this.#loggedMissing.set(service, text)
    if (text === known || (known === undefined && Object.keys(missing).length === 0)) return
    const inService = Object.fromEntries([...domains].map(([failureDomain, domain]) => [failureDomain, domain.inService]))
    this.#context.log.record(LogEvent.CapacityMissing, { service, missing: listCounts(missing), unplaced, inService: listCounts(inService) })
  }
}

/** Returns counts by name in the form of log fields. */
function listCounts (counts: Readonly<Record<string, number>>): string[] {
  return Object.entries(counts).map(([name, count]) => `${name}=${count}`)
}
