/** Common prefix of all keys of this service in the object store. */
export const STORE_PREFIX = 'cyclamenthread/'

/** Prefix of the objects that relays watch and forward. */
export const CATALOGUE_PREFIX = `${STORE_PREFIX}catalogue/`

/** Key of the catalogue head, which lists the parts of the current revision. */
export const CATALOGUE_HEAD = `${CATALOGUE_PREFIX}head`

/** Key of the list of endpoints that the capacity leader runs. */
export const ROSTER_KEY = `${CATALOGUE_PREFIX}roster`

/** Key of the list of released weight versions. */
export const RELEASES_KEY = `${CATALOGUE_PREFIX}releases`

/**
 * Key of an immutable catalogue part, addressed by its content digest.
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

/** Kinds of immutable objects that the head of a ledger partition refers to. */
export enum LedgerObjectKind {
  Segment = 'segments',
  Page = 'pages',
  Summary = 'usage'
}

/**
 * Key of an immutable object of a ledger partition. Names are random rather
 * than sequential: two hosts that both believe they own the partition must never
 * write different content under the same key.
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
 * Key of the pending intents of a leader.
 *
 * @example
 * intentsKey('capacity')
 */
export function intentsKey (name: string): string {
  return `${STORE_PREFIX}intents/${name}`
}

/** Key of the record of which usage windows have been reported. */
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

/** Prefix of the requests that are held back, because endpoints crashed under them. */
export const HELD_REQUESTS_PREFIX = `${STORE_PREFIX}held-requests/`

/** Prefix of the host records that hosts use to discover each other. */
export const HOSTS_PREFIX = `${STORE_PREFIX}hosts/`

/** Key of the cluster secret, with which hosts authenticate to each other. */
export const CLUSTER_SECRET_KEY = `${STORE_PREFIX}secrets/cluster`
