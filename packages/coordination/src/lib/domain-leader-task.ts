import { DomainLeader } from './domain-leader.js'
import { isLeaseCandidate } from './lease-candidate.js'
import { Periodic } from './periodic.js'
import type { DomainContext } from './domain-leader.js'
import type { FleetSettings } from './fleet-settings.js'
import type { HostSettings } from './host-settings.js'
import type { LeaderLocation } from './lease-candidate.js'

/** How often this host looks for failure domains it may have to lead, in milliseconds. */
const CANDIDACY_PERIOD_MS = 1_000

/**
 * Contends for the leases of the failure domains for which this host is a
 * candidate. A host that is candidate of none makes no call of the store.
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

  /** Failure domains that this host leads now. */
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
    for (const place of locations) {
      const isCandidate = isLeaseCandidate(`domain/${place.failureDomain}`, this.#settings.self.id, workers, place)
      if (isCandidate && !this.#leaders.has(place.failureDomain)) await this.#contend(place)
    }
    for (const [name, leader] of [...this.#leaders]) {
      const place = locations.find((item) => item.failureDomain === name)
      const mine = place !== undefined && isLeaseCandidate(`domain/${name}`, this.#settings.self.id, workers, place)
      if (mine || leader.isLeader) continue
      this.#leaders.delete(name)
      await leader.stop()
    }
  }

  async #contend (location: LeaderLocation): Promise<void> {
    const leader = new DomainLeader(this.#settings, this.#fleet, location, this.#context)
    this.#leaders.set(location.failureDomain, leader)
    await leader.start()
  }

  /** The failure domains that have endpoints. */
  #domainsWithEndpoints (): LeaderLocation[] {
    const view = this.#context.catalogue.current()
    const endpoints = view?.catalogue.pools.flatMap((pool) => view.endpoints(pool.name)) ?? []
    const places = new Map(endpoints.map(({ region, failureDomain }) => [failureDomain, { region, failureDomain }]))
    return [...places.values()]
  }
}
