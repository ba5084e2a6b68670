import { awaitRevision, isRolloutComplete, renderRollout, rolloutDeadline } from '../await-revision.js'
import { renderChanges } from '../catalogue-difference.js'
import { failedReport } from '../command.js'
import { ExitCode } from '../exit-code.js'
import { keepWithdrawals } from '../key-withdrawal.js'
import { withStore } from '../operator-store.js'
import { digestCatalogue, readPlanFile } from '../plan-file.js'
import { createPlan } from './plan.js'
import { loadCatalogue } from './validate.js'
import type { Catalogue } from '@cyclamenthread/state'
import type { StoredCatalogue } from '@cyclamenthread/protocol'
import type { RevisionRollout } from '../await-revision.js'
import type { CatalogueChange } from '../catalogue-difference.js'
import type { Command, CommandContext, FailedReport, CommandReport } from '../command.js'
import type { OperatorStore } from '../operator-store.js'

/** Result of `apply`. */
export interface ApplyResult {
  /** The revision that contains the declarations of the folder. */
  readonly revision: number
  /** The changes; if there are none, nothing is written to the store. */
  readonly changes: readonly CatalogueChange[]
  /** Ids of keys that stay withdrawn whatever the folder declares. */
  readonly keptWithdrawn: readonly string[]
  /** Which hosts have the revision; only with `--wait`. */
  readonly rollout?: RevisionRollout
}

/** `cyclamenctl apply`: writes the declarations of a folder to the store. */
export const apply: Command<ApplyResult> = {
  words: 'apply',
  parameters: ['folder'],
  flags: ['storeUrl', 'plan', 'expectRevision', 'wait', 'timeoutSeconds', 'hostUrl', 'platformUrl'],
  summary: 'Put the declarations of a folder in force',
  help: `Returns as soon as the store has accepted the catalogue or, with --wait, when every
live host reports its revision. Fails with exit code 3 if the catalogue has changed since
the plan (--plan) or the expected revision (--expect-revision). A key that was withdrawn,
or that the folder no longer declares, stays withdrawn: to restore a caller's access,
grant a key with a new id.

Examples
  cyclamenctl apply examples/chalk-squares
  cyclamenctl apply examples/chalk-squares --plan plan.json --wait --host-url http://10.0.0.1:8000`,
  run: async (context) => {
    const catalogue = await loadCatalogue(context.input[0] ?? '')
    if ('problems' in catalogue) return catalogue
    return await withStore(context, async (store) => await applyCatalogue(context, store, catalogue))
  },
  render: (result) => [
    ...renderChanges(result.changes),
    result.changes.length === 0 ? `no changes: revision ${result.revision} is in force` : `revision ${result.revision} is accepted`,
    ...result.keptWithdrawn.map((id) => `key ${id} stays withdrawn; grant a key with a new id instead`),
    ...(result.rollout === undefined ? [] : renderRollout(result.rollout))
  ]
}

async function applyCatalogue (context: CommandContext, store: OperatorStore, catalogue: Catalogue): Promise<CommandReport<ApplyResult>> {
  const read = await store.read()
  if (!read.ok) return read
  const outdated = await checkPlanIsCurrent(context, catalogue, read.stored)
  if (outdated !== undefined) return outdated
  const { changes, keptWithdrawn } = createPlan(catalogue, read.stored)
  const next = keepWithdrawals(catalogue, read.stored?.catalogue ?? { workspaces: [], keys: [], entries: [], pools: [] }).catalogue
  const write = changes.length === 0 && read.stored !== undefined
    ? { ok: true as const, revision: read.stored.revision }
    : await store.write(next, read.stored)
  if (!write.ok) return write
  const result: ApplyResult = { revision: write.revision, changes, keptWithdrawn }
  return context.flags.wait === true ? await awaitRollout(context, result) : { ok: true, exit: ExitCode.Success, result }
}

/** Fails if the stored catalogue or the folder has changed since the plan was made. */
async function checkPlanIsCurrent (context: CommandContext, catalogue: Catalogue, stored: StoredCatalogue | undefined): Promise<FailedReport | undefined> {
  const { plan, expectRevision } = context.flags
  const revision = stored?.revision ?? 0
  if (expectRevision !== undefined && expectRevision !== revision) return outdatedPlan(expectRevision, revision)
  if (plan === undefined) return undefined
  const planned = await readPlanFile(plan)
  if ('problems' in planned) return planned
  if (planned.revision !== revision || planned.headVersion !== (stored?.headVersion ?? '')) return outdatedPlan(planned.revision, revision)
  if (planned.declarations !== digestCatalogue(catalogue)) return failedReport(ExitCode.Conflict, 'the folder changed since the plan was made; nothing was applied; run plan again')
  return undefined
}

function outdatedPlan (expected: number, revision: number): FailedReport {
  return failedReport(ExitCode.Conflict, `the plan was made against revision ${expected}, but revision ${revision} is in force; nothing was applied; run plan again`)
}

async function awaitRollout (context: CommandContext, result: ApplyResult): Promise<CommandReport<ApplyResult>> {
  const rollout = await awaitRevision(result.revision, context.flags, rolloutDeadline(context.flags))
  return { ok: true, exit: isRolloutComplete(rollout) ? ExitCode.Success : ExitCode.Incomplete, result: { ...result, rollout } }
}
