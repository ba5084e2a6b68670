/** How long a proof of the catalogue is valid, in milliseconds. */
export const PROOF_VALIDITY_MS = 5_000

/** Evidence that a host's catalogue is current. */
export enum CatalogueProofKind {
  /** The store was read and held no newer revision. */
  Checked = 'checked',
  /** The store doesn't answer even its own region, so that no newer revision can have taken effect. */
  StoreDown = 'store-down'
}

/**
 * A proof that the revision a host knows was the newest in force at a point in
 * time. That time is always taken before the request was sent, on the clock of the
 * requesting host, so that a response that waited in a paused host proves nothing new.
 */
export interface CatalogueProof {
  readonly kind: CatalogueProofKind
  /** Milliseconds by the clock of the host that holds the proof, which counts suspends of its machine. */
  readonly at: number
}

/**
 * Whether a proof is still valid.
 *
 * @param now monotonic milliseconds by the clock that counts suspends
 * @example
 * isProofValid({ kind: CatalogueProofKind.Checked, at: 1000 }, 5000) // true
 */
export function isProofValid (proof: CatalogueProof | undefined, now: number): boolean {
  return proof !== undefined && now - proof.at <= PROOF_VALIDITY_MS
}

/**
 * Returns the later of two proofs.
 *
 * @example
 * laterProof(undefined, proof) // proof
 */
export function laterProof (a: CatalogueProof | undefined, b: CatalogueProof | undefined): CatalogueProof | undefined {
  if (a === undefined || b === undefined) return a ?? b
  return b.at > a.at ? b : a
}
