import { writeFile } from 'node:fs/promises'
import { diffCatalogues, renderChanges } from '../catalogue-difference.js'
import { ExitCode } from '../exit-code.js'
import { keepWithdrawals } from '../key-withdrawal.js'
import { withStore } from '../operator-store.js'
import { digestCatalogue } from '../plan-file.js'
import { loadCatalogue } from './validate.js'
import type { Catalogue } from '@cyclamenthread/state'
import type { StoredCatalogue } from '@cyclamenthread/protocol'
import type { CatalogueChange } from '../catalogue-difference.js'
import type { Command } from '../command.js'
import type { PlanFile } from '../plan-file.js'

/** Result of `plan`: what an apply would change, and what the folder was compared with. */
export interface PlanResult extends PlanFile {
  readonly changes: readonly CatalogueChange[]
  /** Ids of keys that stay withdrawn whatever the folder declares. */
  readonly keptWithdrawn: readonly string[]
}

/** The catalogue before the first apply. */
const EMPTY_CATALOGUE: Catalogue = { workspaces: [], keys: [], entries: [], pools: [] }

/** `cyclamenctl plan`: shows what an apply would change. */
export const plan: Command<PlanResult> = {
  words: 'plan',
  parameters: ['folder'],
  flags: ['storeUrl', 'out'],
  summary: 'Show what an apply would change',
  help: `Compares the folder with the catalogue in force and changes nothing. With --out, the
plan is written to a file; \`apply --plan FILE\` then fails if the catalogue or the folder
has changed since.

Example
  cyclamenctl plan examples/chalk-squares --out plan.json`,
  run: async (context) => {
    const catalogue = await loadCatalogue(context.input[0] ?? '')
    if ('problems' in catalogue) return catalogue
    return await withStore(context, async (store) => {
      const read = await store.read()
      if (!read.ok) return read
      const result = createPlan(catalogue, read.stored)
      if (context.flags.out !== undefined) await writeFile(context.flags.out, JSON.stringify(result, undefined, 2) + '\n')
      return { ok: true, exit: ExitCode.Success, result }
    })
  },
  render: (result) => [
    ...renderChanges(result.changes),
    ...result.keptWithdrawn.map((id) => `  key ${id} stays withdrawn; grant a key with a new id instead`),
    result.changes.length === 0 ? `no changes to revision ${result.revision}` : `${result.changes.length} changes to revision ${result.revision}`
  ]
}

/**
 * Plans the replacement of the stored catalogue by a declared one.
 *
 * @example
 * createPlan(declared, stored).changes
 */
export function createPlan (catalogue: Catalogue, stored: StoredCatalogue | undefined): PlanResult {
  const inForce = stored?.catalogue ?? EMPTY_CATALOGUE
  const next = keepWithdrawals(catalogue, inForce)
  return {
    revision: stored?.revision ?? 0,
    headVersion: stored?.headVersion ?? '',
    declarations: digestCatalogue(catalogue),
    changes: diffCatalogues(inForce, next.catalogue),
    keptWithdrawn: next.kept
  }
}
