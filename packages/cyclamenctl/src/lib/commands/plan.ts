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

/** What an apply would change, and what it was compared with. */
export interface PlanResult extends PlanFile {
  readonly changes: readonly CatalogueChange[]
  /** Keys that stay withdrawn whatever the folder says. */
  readonly keptWithdrawn: readonly string[]
}

/** A catalogue before the first apply. */
const EMPTY_CATALOGUE: Catalogue = { workspaces: [], keys: [], entries: [], pools: [] }

/** `cyclamenctl plan`: shows what an apply would change. */
export const plan: Command<PlanResult> = {
  words: 'plan',
  parameters: ['folder'],
  flags: ['storeUrl', 'out'],
  summary: 'Show what an apply would change',
  help: `Compares the folder with the catalogue in force and changes nothing. With --out the
plan is written to a file; \`apply --plan FILE\` then refuses if the catalogue or the
folder changed since.

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
    ...result.keptWithdrawn.map((id) => `  key ${id} stays withdrawn; grant a new key id instead`),
    result.changes.length === 0 ? `no changes to revision ${result.revision}` : `${result.changes.length} changes to revision ${result.revision}`
  ]
}

/**
 * The plan that puts a declared catalogue in the place of the stored one.
 *
 * @example
 * planOf(declared, stored).changes
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
