import { DomainLeader } from './domain-leader.js'
import { isLeaseCandidate } from './lease-candidate.js'
import { Periodic } from './periodic.js'
import type { DomainContext } from './domain-leader.js'
import type { FleetSettings } from './fleet-settings.js'
import type { HostSettings } from './host-settings.js'
import type { LeasePlace } from './lease-candidate.js'

/** How often this host looks for failure domains it may have to lead, in milliseconds. */
const PLACEMENT_MS = 1_000

/**
 * Contends for the leases of the failure domains for which this host is a
 * candidate. A host that is candidate of none makes no call of the store.
 */
export class DomainLeaderTask {
  readonly #settings: HostSettings
  readonly #fleet: FleetSettings
  readonly #context: DomainContext
  readonly #leaders = new Map<string, DomainLeader>()
  readonly #placement = new Periodic(PLACEMENT_MS, async () => await this.#place())

  constructor (settings: HostSettings, fleet: FleetSettings, context: DomainContext) {
    this.#settings = settings
    this.#fleet = fleet
    this.#context = context
  }

  /** Failure domains that this host leads now. */
  get led (): string[] {
    return [...this.#leaders].filter(([, leader]) => leader.leads).map(([name]) => name)
  }

  async start (): Promise<void> {
    await this.#placement.start()
  }

  async stop (): Promise<void> {
    await this.#placement.stop()
    await Promise.all([...this.#leaders.values()].map(async (leader) => await leader.stop()))
    this.#leaders.clear()
  }

  async #place (): Promise<void> {
    const workers = this.#context.members.workers()
    const places = this.#places()
    for (const place of places) {
      const mine = isLeaseCandidate(`domain/${place.failureDomain}`, this.#settings.self.id, workers, place)
      if (mine && !this.#leaders.has(place.failureDomain)) await this.#contend(place)
    }
    for (const [name, leader] of [...this.#leaders]) {
      const place = places.find((item) => item.failureDomain === name)
      const mine = place !== undefined && isLeaseCandidate(`domain/${name}`, this.#settings.self.id, workers, place)
      if (mine || leader.leads) continue
      this.#leaders.delete(name)
      await leader.stop()
    }
  }

  async #contend (place: LeasePlace): Promise<void> {
    const leader = new DomainLeader(this.#settings, this.#fleet, place, this.#context)
    this.#leaders.set(place.failureDomain, leader)
    await leader.start()
  }

  /** The failure domains that have endpoints. */
  #places (): LeasePlace[] {
    const view = this.#context.catalogue.current()
    const endpoints = view?.catalogue.pools.flatMap((pool) => view.endpoints(pool.name)) ?? []
    const places = new Map(endpoints.map(({ region, failureDomain }) => [failureDomain, { region, failureDomain }]))
    return [...places.values()]
  }
}
