/**
 * Regions in which a request may run, be cached and be stored; undefined if anywhere.
 * An empty list means nowhere: a route and a workspace bind it to different regions.
 */
export type HomeRegions = readonly string[] | undefined

/**
 * Reads a declared list of regions, in which an empty list doesn't bind.
 *
 * @example
 * declaredHomes([]) // undefined
 */
export function declaredHomes (regions: readonly string[] | undefined): HomeRegions {
  return regions === undefined || regions.length === 0 ? undefined : regions
}

/**
 * Intersects homes, all of which bind.
 *
 * @example
 * intersectHomes(['lothian', 'grampian'], ['grampian']) // ['grampian']
 */
export function intersectHomes (...homes: readonly HomeRegions[]): HomeRegions {
  let common: HomeRegions
  for (const regions of homes) {
    if (regions !== undefined) common = common === undefined ? regions : common.filter((region) => regions.includes(region))
  }
  return common
}

/**
 * Whether a region is among the homes.
 *
 * @example
 * isHome(undefined, 'lothian') // true
 */
export function isHome (homes: HomeRegions, region: string | undefined): boolean {
  return homes === undefined || (region !== undefined && homes.includes(region))
}

/**
 * Returns the failure domains in the homes; undefined if all are allowed.
 *
 * @param regions region of each failure domain
 * @example
 * domainsOfHomes(['lothian'], { 'leith-walk': 'lothian', castlegate: 'grampian' }) // Set { 'leith-walk' }
 */
export function domainsOfHomes (homes: HomeRegions, regions: Readonly<Record<string, string>>): ReadonlySet<string> | undefined {
  if (homes === undefined) return undefined
  return new Set(Object.entries(regions).flatMap(([failureDomain, region]) => homes.includes(region) ? [failureDomain] : []))
}

/**
 * Describes homes for a log line or a refusal.
 *
 * @example
 * describeHomes(['lothian', 'grampian']) // 'lothian, grampian'
 */
export function describeHomes (homes: HomeRegions): string {
  if (homes === undefined) return 'any region'
  return homes.length === 0 ? 'no region, since the homes of route and workspace differ' : homes.join(', ')
}
