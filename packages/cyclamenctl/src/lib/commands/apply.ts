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

/** What an apply put in force. */
export interface ApplyResult {
  /** The revision that holds the folder. */
  readonly revision: number
  /** What changed; nothing is written when nothing did. */
  readonly changes: readonly CatalogueChange[]
  readonly keptWithdrawn: readonly string[]
  /** How far the revision has come; only with --wait. */
  readonly rollout?: RevisionRollout
}

/** `cyclamenctl apply`: puts a folder in force. */
export const apply: Command<ApplyResult> = {
  words: 'apply',
  parameters: ['folder'],
  flags: ['storeUrl', 'plan', 'expectRevision', 'wait', 'timeoutSeconds', 'hostUrl', 'platformUrl'],
  summary: 'Put the declarations of a folder in force',
  help: `Answers as soon as the store has accepted the catalogue; with --wait only when every
live host reports its revision. Refuses (exit code 3) when the catalogue is newer than
--plan or --expect-revision says. A key that was withdrawn, or that the folder no
longer names, stays withdrawn: to let a caller in again, grant a new key id.

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
    result.changes.length === 0 ? `nothing to change: revision ${result.revision} is in force` : `revision ${result.revision} is accepted`,
    ...result.keptWithdrawn.map((id) => `key ${id} stays withdrawn; grant a new key id instead`),
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

/** Whether the catalogue or the folder moved on since the plan was made. */
async function checkPlanIsCurrent (context: CommandContext, catalogue: Catalogue, stored: StoredCatalogue | undefined): Promise<FailedReport | undefined> {
  const { plan, expectRevision } = context.flags
  const revision = stored?.revision ?? 0
  if (expectRevision !== undefined && expectRevision !== revision) return outdatedPlan(expectRevision, revision)
  if (plan === undefined) return undefined
  const planned = await readPlanFile(plan)
  if ('problems' in planned) return planned
  if (planned.revision !== revision || planned.headVersion !== (stored?.headVersion ?? '')) return outdatedPlan(planned.revision, revision)
  if (planned.declarations !== digestCatalogue(catalogue)) return failedReport(ExitCode.Conflict, 'the folder changed since the plan was made; nothing was changed; plan again')
  return undefined
}

function outdatedPlan (expected: number, revision: number): FailedReport {
  return failedReport(ExitCode.Conflict, `the plan was made against revision ${expected}, but revision ${revision} is in force; nothing was changed; plan again`)
}

async function awaitRollout (context: CommandContext, result: ApplyResult): Promise<CommandReport<ApplyResult>> {
  const rollout = await awaitRevision(result.revision, context.flags, rolloutDeadline(context.flags))
  return { ok: true, exit: isRolloutComplete(rollout) ? ExitCode.Success : ExitCode.Incomplete, result: { ...result, rollout } }
}
