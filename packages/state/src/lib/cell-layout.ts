import { rankOwners } from './rendezvous.js'
import type { Endpoint } from './catalogue.js'
import type { CatalogueView } from './catalogue-view.js'

/** Maximum number of endpoints of a cell. */
export const MAX_CELL_ENDPOINTS = 24

/** Average number of endpoints of a cell; below the maximum, so that uneven hashing rarely fills a cell. */
const TARGET_CELL_ENDPOINTS = 16

/** A cell: a shard of a pool within one failure domain. */
export interface CellPlacement {
  readonly name: string
  readonly pool: string
  readonly region: string
  readonly failureDomain: string
  readonly endpoints: readonly Endpoint[]
}

/**
 * Partitions the pools of a catalogue into cells. The result is the same on every
 * host that has the same revision.
 *
 * @example
 * partitionIntoCells(view).map((cell) => cell.name) // ['engines/leith-walk/0', …]
 */
export function partitionIntoCells (view: CatalogueView): CellPlacement[] {
  return view.catalogue.pools.flatMap((pool) => partitionPool(pool.name, view.endpoints(pool.name)))
}

function partitionPool (pool: string, endpoints: readonly Endpoint[]): CellPlacement[] {
  const domains = [...new Set(endpoints.map((endpoint) => endpoint.failureDomain))].sort()
  return domains.flatMap((domain) => {
    const domainEndpoints = endpoints.filter((endpoint) => endpoint.failureDomain === domain)
    domainEndpoints.sort((a, b) => a.id < b.id ? -1 : 1)
    return [...assignToCells(`${pool}/${domain}`, domainEndpoints)].map(([name, part]): CellPlacement => ({
      name,
      pool,
      region: part[0]?.region ?? '',
      failureDomain: domain,
      endpoints: part
    }))
  })
}

/**
 * Assigns endpoints to cells by rendezvous hashing, so that adding or removing one
 * moves few others: the slots of an endpoint that changes its cell are counted by
 * two owners until those of the first have ended.
 */
function assignToCells (prefix: string, endpoints: readonly Endpoint[]): Map<string, Endpoint[]> {
  const count = endpoints.length <= MAX_CELL_ENDPOINTS ? 1 : Math.ceil(endpoints.length / TARGET_CELL_ENDPOINTS)
  const names = Array.from({ length: count }, (_, index) => `${prefix}/${index}`)
  const cells = new Map(names.map((name): [string, Endpoint[]] => [name, []]))
  for (const endpoint of endpoints) {
    const name = rankOwners(endpoint.id, names).find((item) => (cells.get(item)?.length ?? 0) < MAX_CELL_ENDPOINTS)
    if (name !== undefined) cells.get(name)?.push(endpoint)
  }
  return new Map([...cells].filter(([, part]) => part.length > 0))
}
