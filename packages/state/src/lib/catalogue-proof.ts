/** How long a proof of the catalogue holds, in milliseconds. */
export const PROOF_VALIDITY_MS = 5_000

/** What shows that a host's catalogue is current. */
export enum CatalogueProofKind {
  /** The store was read and held nothing newer. */
  Checked = 'checked',
  /** The store gives its own region no answer, so that nothing can have been put in force. */
  StoreDown = 'store-down'
}

/**
 * A proof that nothing newer than what a host knows was in force at a point in
 * time. The point is always one before the question was sent, on the clock of the
 * host that asked, so that an answer that waited in a paused host proves nothing new.
 */
export interface CatalogueProof {
  readonly kind: CatalogueProofKind
  /** Monotonic milliseconds of the host that holds the proof. */
  readonly at: number
}

/**
 * Whether a proof still holds.
 *
 * @param now monotonic milliseconds
 * @example
 * isProven({ kind: CatalogueProofKind.Checked, at: 1000 }, 5000) // true
 */
export function isProofValid (proof: CatalogueProof | undefined, now: number): boolean {
  return proof !== undefined && now - proof.at <= PROOF_VALIDITY_MS
}

/**
 * The later of two proofs.
 *
 * @example
 * laterProof(undefined, proof) // proof
 */
export function laterProof (a: CatalogueProof | undefined, b: CatalogueProof | undefined): CatalogueProof | undefined {
  if (a === undefined || b === undefined) return a ?? b
  return b.at > a.at ? b : a
}
