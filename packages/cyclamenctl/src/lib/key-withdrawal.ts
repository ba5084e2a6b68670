import type { Catalogue, Key } from '@cyclamenthread/state'

/** A catalogue that keeps every withdrawal, and the keys for which that made a difference. */
export interface KeptWithdrawals {
  readonly catalogue: Catalogue
  /** Ids of keys that stay withdrawn although the declarations say otherwise or name them no more. */
  readonly kept: readonly string[]
}

/**
 * Carries withdrawals over into the next catalogue. Withdrawals only grow: a key
 * that was withdrawn, or that the declarations no longer name, stays in the
 * catalogue as withdrawn, so that no later apply of an older folder brings it
 * back. To grant again takes a new key id.
 *
 * @param next what is to be put in force
 * @param inForce what is in force now
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
