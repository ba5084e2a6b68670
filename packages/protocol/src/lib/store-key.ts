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

/** Kinds of immutable objects that a partition's head refers to. */
export enum LedgerObjectKind {
  Segment = 'segments',
  Page = 'pages',
  Summary = 'usage'
}

/**
 * Key of an immutable object of a ledger partition. Names are drawn at random
 * rather than counted: two owners that each believe they are in charge must
 * never write the same key with different content.
 *
 * @example
 * ledgerObjectKey(3, LedgerObjectKind.Segment, randomUUID())
 */
export function ledgerObjectKey (partition: number, kind: LedgerObjectKind, name: string): string {
  return `${STORE_PREFIX}ledger/${partition}/${kind}/${name}`
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

/** How far usage windows have been reported. */
export const USAGE_PROGRESS_KEY = `${STORE_PREFIX}usage-progress`

/**
 * Key of an accepted rollout.
 *
 * @example
 * rolloutKey('7c41')
 */
export function rolloutKey (rolloutId: string): string {
  return `${STORE_PREFIX}rollouts/${rolloutId}`
}

/**
 * Key of one entry of a rollout's log.
 *
 * @example
 * rolloutSegmentKey('7c41', 0)
 */
export function rolloutSegmentKey (rolloutId: string, segment: number): string {
  return `${STORE_PREFIX}rollout-log/${rolloutId}.${segment}`
}

/** Prefix of the records by which hosts find each other. */
export const HOSTS_PREFIX = `${STORE_PREFIX}hosts/`

/** Key of the secret that hosts prove to each other. */
export const CLUSTER_SECRET_KEY = `${STORE_PREFIX}secrets/cluster`
