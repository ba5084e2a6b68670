import type { Endpoint } from './catalogue.js'
import type { CatalogueView } from './catalogue-view.js'

/** Most endpoints that one cell counts. */
export const MAX_CELL_ENDPOINTS = 24

/** A cell: a shard of one pool within one failure domain. */
export interface CellPlacement {
  readonly name: string
  readonly pool: string
  readonly region: string
  readonly failureDomain: string
  readonly endpoints: readonly Endpoint[]
}

/**
 * Cuts the pools of a catalogue into cells. Every host with the same revision
 * finds the same cells.
 *
 * @example
 * layCells(view).map((cell) => cell.name) // ['engines/leith-walk/0', …]
 */
export function layCells (view: CatalogueView): CellPlacement[] {
  return view.catalogue.pools.flatMap((pool) => layPool(pool.name, view.endpoints(pool.name)))
}

function layPool (pool: string, endpoints: readonly Endpoint[]): CellPlacement[] {
  const domains = [...new Set(endpoints.map((endpoint) => endpoint.failureDomain))].sort()
  return domains.flatMap((domain) => {
    const own = endpoints.filter((endpoint) => endpoint.failureDomain === domain)
    own.sort((a, b) => a.id < b.id ? -1 : 1)
    return chunk(own).map((part, index): CellPlacement => ({
      name: `${pool}/${domain}/${index}`,
      pool,
      region: part[0]?.region ?? '',
      failureDomain: domain,
      endpoints: part
    }))
  })
}

function chunk (endpoints: readonly Endpoint[]): Endpoint[][] {
  const parts: Endpoint[][] = []
  for (let start = 0; start < endpoints.length; start += MAX_CELL_ENDPOINTS) {
    parts.push(endpoints.slice(start, start + MAX_CELL_ENDPOINTS))
  }
  return parts
}
