import { failedReport } from '../command.js'
import { markKeyWithdrawn } from '../declaration-edit.js'
import { ExitCode } from '../exit-code.js'
import { withStore } from '../operator-store.js'
import { awaitRevision, isRolloutComplete, renderRollout, rolloutDeadline } from '../await-revision.js'
import type { Catalogue } from '@cyclamenthread/state'
import type { RevisionRollout } from '../await-revision.js'
import type { Command, FailedReport } from '../command.js'

/** A key that was withdrawn. */
export interface WithdrawResult {
  readonly revision: number
  readonly id: string
  /** The declaration that was marked, when a folder was given. */
  readonly file?: string
  readonly rollout?: RevisionRollout
}

/** `cyclamenctl keys withdraw`: stops a key, for good. */
export const keysWithdraw: Command<WithdrawResult> = {
  words: 'keys withdraw',
  parameters: ['key-id'],
  flags: ['storeUrl', 'folder', 'wait', 'timeoutSeconds', 'hostUrl', 'platformUrl'],
  summary: 'Withdraw a key, for good',
  help: `Works at once on the store, without an apply; hosts refuse the key within seconds.
With --folder its declaration is marked \`withdrawn: true\` too. No later apply brings
the key back, also not one of an older folder.

Example
  cyclamenctl keys withdraw booking-desk-1 --folder examples/chalk-squares --wait`,
  run: async (context) => {
    const id = context.input[0] ?? ''
    return await withStore(context, async (store) => {
      const write = await store.update((catalogue) => withdrawKey(catalogue, id))
      if (!write.ok) return write
      const markedFile = context.flags.folder === undefined ? undefined : await markKeyWithdrawn(context.flags.folder, id)
      const rollout = context.flags.wait === true ? await awaitRevision(write.revision, context.flags, rolloutDeadline(context.flags)) : undefined
      return {
        ok: true,
        exit: rollout === undefined || isRolloutComplete(rollout) ? ExitCode.Success : ExitCode.Incomplete,
        result: { revision: write.revision, id, ...(markedFile === undefined ? {} : { file: markedFile }), ...(rollout === undefined ? {} : { rollout }) }
      }
    })
  },
  render: (result) => [
    `key ${result.id} is withdrawn with revision ${result.revision}`,
    ...(result.file === undefined ? [] : [`marked in ${result.file}; commit it`]),
    ...(result.rollout === undefined ? [] : renderRollout(result.rollout))
  ]
}

function withdrawKey (catalogue: Catalogue, id: string): Catalogue | FailedReport {
  if (!catalogue.keys.some((key) => key.id === id)) return failedReport(ExitCode.Usage, `key ${id} is not in force`)
  return { ...catalogue, keys: catalogue.keys.map((key) => key.id === id ? { ...key, withdrawn: true } : key) }
}
