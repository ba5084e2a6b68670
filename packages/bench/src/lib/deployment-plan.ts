import type { CapacityRule } from '@cyclamenthread/state'
import type { EngineSettings } from '@cyclamenthread/standins'

/** Hosts and endpoints of one failure domain. */
export interface DomainPlan {
  readonly name: string
  readonly region: string
  readonly hosts: number
  readonly engines: number
  readonly bookingEndpoints: number
}

/** Size and settings of a test deployment. */
export interface DeploymentPlan {
  readonly domains: readonly DomainPlan[]
  readonly slotsPerEngine: number
  readonly tokenMs: number
  readonly usageWindowMs: number
  readonly ledgerPartitions: number
  readonly addressTtlMs: number
  /** Further settings of the engine stand-ins. */
  readonly engine?: Partial<EngineSettings>
  /** Rules by which endpoints are ordered for the engine pool. */
  readonly capacity?: readonly CapacityRule[]
  /** Staleness bound of the training entry, in weight versions. */
  readonly stalenessBound?: number
  /** Further settings of the hosts, by environment variable; they override the common ones. */
  readonly environment?: Readonly<Record<string, string>>
}

/** The size of the Authority's production deployment: eight hosts, eight engines and three booking endpoints. */
export const EIGHT_HOSTS: DeploymentPlan = {
  domains: [
    { name: 'leith-walk', region: 'lothian', hosts: 3, engines: 3, bookingEndpoints: 1 },
    { name: 'grassmarket', region: 'lothian', hosts: 3, engines: 3, bookingEndpoints: 1 },
    { name: 'castlegate', region: 'grampian', hosts: 2, engines: 2, bookingEndpoints: 1 }
  ],
  slotsPerEngine: 16,
  tokenMs: 1,
  usageWindowMs: 2_000,
  ledgerPartitions: 16,
  addressTtlMs: 200
}

/** One host and two engines, for the demo and small tests. */
export const SINGLE_HOST: DeploymentPlan = {
  ...EIGHT_HOSTS,
  domains: [{ name: 'leith-walk', region: 'lothian', hosts: 1, engines: 2, bookingEndpoints: 1 }],
  ledgerPartitions: 4
}
