import type { Catalogue, Key } from '@cyclamenthread/state'

/** A catalogue with all earlier withdrawals, and the keys that are withdrawn only because of them. */
export interface KeptWithdrawals {
  readonly catalogue: Catalogue
  /** Ids of the withdrawn keys that the declarations contain as valid or no longer contain. */
  readonly kept: readonly string[]
}

/**
 * Carries withdrawals over to the next catalogue. A withdrawal is permanent: a
 * key that was withdrawn, or that the declarations no longer contain, stays in
 * the catalogue as withdrawn, so that applying an older version of the folder
 * can't restore it. To restore access, a key with a new id must be granted.
 *
 * @param next the catalogue to be applied
 * @param inForce the catalogue in the store
 * @example
 * keepWithdrawals(declared, stored.catalogue).kept // ['desk-1']
 */
export function keepWithdrawals (next: Catalogue, inForce: Catalogue): KeptWithdrawals {
  const declared = new Map(next.keys.map((key) => [key.id, key]))
  const keys = new Map(declared)
  const kept: string[] = []
  for (const known of inForce.keys) {
    const wanted = declared.get(known.id)
    if (wanted === undefined) keys.set(known.id, { ...known, withdrawn: true })
    else if (known.withdrawn) keys.set(known.id, { ...wanted, withdrawn: true })
    if (known.withdrawn && wanted?.withdrawn !== true) kept.push(known.id)
  }
  return { catalogue: { ...next, keys: sortById([...keys.values()]) }, kept }
}

function sortById (keys: readonly Key[]): Key[] {
  return [...keys].sort((a, b) => a.id < b.id ? -1 : 1)
}
