import test from 'ava'
import fc from 'fast-check'
import { keepWithdrawals } from '../lib/key-withdrawal.js'
import type { Catalogue, Key } from '@cyclamenthread/state'

const SEED = 20261204
const RUNS = 1_000

const keys = fc.uniqueArray(fc.record({ id: fc.constantFrom('a', 'b', 'c', 'd'), withdrawn: fc.boolean() }), { selector: (key) => key.id })

function catalogueOf (given: ReadonlyArray<{ readonly id: string, readonly withdrawn: boolean }>): Catalogue {
  const toKey = ({ id, withdrawn }: { readonly id: string, readonly withdrawn: boolean }): Key => ({ id, workspace: 'desk', salt: '0'.repeat(16), hash: '0'.repeat(64), withdrawn })
  return { workspaces: [], entries: [], pools: [], keys: given.map(toKey) }
}

test(`a key that was removed or withdrawn stays withdrawn after any sequence of applies (seed ${SEED}, ${RUNS} runs)`, (t) => {
  fc.assert(fc.property(fc.array(keys, { minLength: 2, maxLength: 8 }), (folders) => {
    let inForce = catalogueOf([])
    const gone = new Set<string>()
    for (const folder of folders) {
      for (const key of inForce.keys) if (key.withdrawn || !folder.some((other) => other.id === key.id)) gone.add(key.id)
      inForce = keepWithdrawals(catalogueOf(folder), inForce).catalogue
      for (const id of gone) t.true(inForce.keys.find((key) => key.id === id)?.withdrawn, `${id} came back`)
      for (const key of folder) if (!gone.has(key.id)) t.is(inForce.keys.find((other) => other.id === key.id)?.withdrawn, key.withdrawn)
    }
  }), { seed: SEED, numRuns: RUNS })
})
