/** Everything of ours lies under one prefix of the object service. */
export const STORE_PREFIX = 'cyclamenthread/'

/** Prefix of everything that relays watch and pass on. */
export const CATALOGUE_PREFIX = `${STORE_PREFIX}catalogue/`

/** The head of the catalogue: it lists the parts of the revision in force. */
export const CATALOGUE_HEAD = `${CATALOGUE_PREFIX}head`

/** The endpoints that the capacity leader runs. */
export const ROSTER_KEY = `${CATALOGUE_PREFIX}roster`

/** The weight versions that were released. */
export const RELEASES_KEY = `${CATALOGUE_PREFIX}releases`

/**
 * Key of an immutable part of the catalogue, named by its content.
 *
 * @example
 * cataloguePartKey('ab12…')
 */
export function cataloguePartKey (contentDigest: string): string {
  return `${STORE_PREFIX}catalogue-parts/${contentDigest}`
}

/**
 * Key of the head object of a ledger partition.
 *
 * @example
 * ledgerHeadKey(3)
 */
export function ledgerHeadKey (partition: number): string {
  return `${STORE_PREFIX}ledger/${partition}/head`
}

/**
 * Key of a sealed segment of a ledger partition.
 *
 * @example
 * ledgerSegmentKey(3, 17)
 */
export function ledgerSegmentKey (partition: number, segment: number): string {
  return `${STORE_PREFIX}ledger/${partition}/segments/${String(segment).padStart(10, '0')}`
}

/**
 * Key of a lease record.
 *
 * @example
 * leaseKey('usage')
 */
export function leaseKey (name: string): string {
  return `${STORE_PREFIX}leases/${name}`
}

/**
 * Key of a sealed usage window.
 *
 * @example
 * usageWindowKey(12)
 */
export function usageWindowKey (window: number): string {
  return `${STORE_PREFIX}usage/${String(window).padStart(12, '0')}`
}

/**
 * Key of the open intents of one leader.
 *
 * @example
 * intentsKey('capacity')
 */
export function intentsKey (name: string): string {
  return `${STORE_PREFIX}intents/${name}`
}
