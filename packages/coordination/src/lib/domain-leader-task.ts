import { DomainLeader } from './domain-leader.js'
import { isLeaseCandidate } from './lease-candidate.js'
import { Periodic } from './periodic.js'
import type { DomainContext } from './domain-leader.js'
import type { FleetSettings } from './fleet-settings.js'
import type { HostSettings } from './host-settings.js'
import type { LeaderLocation } from './lease-candidate.js'

/** How often this host determines the failure domains for which it is a candidate, in milliseconds. */
const CANDIDACY_PERIOD_MS = 1_000

/**
 * Contends for the leases of the failure domains for which this host is a
 * candidate. A host that is a candidate for none makes no store calls.
 */
export class DomainLeaderTask {
  readonly #settings: HostSettings
  readonly #fleet: FleetSettings
  readonly #context: DomainContext
  readonly #leaders = new Map<string, DomainLeader>()
  readonly #candidacyLoop = new Periodic(CANDIDACY_PERIOD_MS, async () => await this.#updateCandidacies())

  constructor (settings: HostSettings, fleet: FleetSettings, context: DomainContext) {
    this.#settings = settings
    this.#fleet = fleet
    this.#context = context
  }

  /** The failure domains that this host leads now. */
  get ledDomains (): string[] {
    return [...this.#leaders].filter(([, leader]) => leader.isLeader).map(([name]) => name)
  }

  async start (): Promise<void> {
    await this.#candidacyLoop.start()
  }

  async stop (): Promise<void> {
    await this.#candidacyLoop.stop()
    await Promise.all([...this.#leaders.values()].map(async (leader) => await leader.stop()))
    this.#leaders.clear()
  }

  async #updateCandidacies (): Promise<void> {
    const workers = this.#context.members.workers()
    const locations = this.#domainsWithEndpoints()
    for (const location of locations) {
      const isCandidate = isLeaseCandidate(`domain/${location.failureDomain}`, this.#settings.self.id, workers, location)
      if (isCandidate && !this.#leaders.has(location.failureDomain)) await this.#contend(location)
    }
    for (const [name, leader] of [...this.#leaders]) {
      const location = locations.find((item) => item.failureDomain === name)
      const isCandidate = location !== undefined && isLeaseCandidate(`domain/${name}`, this.#settings.self.id, workers, location)
      if (isCandidate || leader.isLeader) continue
      this.#leaders.delete(name)
      await leader.stop()
    }
  }

  async #contend (location: LeaderLocation): Promise<void> {
    const leader = new DomainLeader(this.#settings, this.#fleet, location, this.#context)
    this.#leaders.set(location.failureDomain, leader)
    await leader.start()
  }

  /** Returns the locations of all failure domains that have endpoints. */
  #domainsWithEndpoints (): LeaderLocation[] {
    const view = this.#context.catalogue.current()
    const endpoints = view?.catalogue.pools.flatMap((pool) => view.endpoints(pool.name)) ?? []
    const locations = new Map(endpoints.map(({ region, failureDomain }) => [failureDomain, { region, failureDomain }]))
    return [...locations.values()]
  }
}
