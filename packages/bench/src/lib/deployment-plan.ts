import type { CapacityRule } from '@cyclamenthread/state'
import type { EngineSettings } from '@cyclamenthread/standins'

/** A failure domain of a deployment. */
export interface DomainPlan {
  readonly name: string
  readonly region: string
  readonly hosts: number
  readonly engines: number
  readonly bookingEndpoints: number
}

/** What a test deployment consists of. */
export interface DeploymentPlan {
  readonly domains: readonly DomainPlan[]
  readonly slotsPerEngine: number
  readonly tokenMs: number
  readonly usageWindowMs: number
  readonly ledgerPartitions: number
  readonly addressTtlMs: number
  /** Settings of the engines beyond those above. */
  readonly engine?: Partial<EngineSettings>
  /** Rules by which endpoints of the engine pool are ordered. */
  readonly capacity?: readonly CapacityRule[]
  /** Staleness bound of the training entry. */
  readonly stalenessBound?: number
  /** Settings of the hosts beyond those of every test deployment, by environment variable. */
  readonly environment?: Readonly<Record<string, string>>
}

/** The Authority's deployment at today's size: eight hosts, eight engines, three booking engines. */
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

/** One host only, for the demo. */
export const SINGLE_HOST: DeploymentPlan = {
  ...EIGHT_HOSTS,
  domains: [{ name: 'leith-walk', region: 'lothian', hosts: 1, engines: 2, bookingEndpoints: 1 }],
  ledgerPartitions: 4
}
