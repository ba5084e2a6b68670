import { failedReport } from '../command.js'
import { markKeyWithdrawn } from '../declaration-edit.js'
import { ExitCode } from '../exit-code.js'
import { withStore } from '../operator-store.js'
import { awaitRevision, isRolloutComplete, renderRollout, rolloutDeadline } from '../await-revision.js'
import type { Catalogue } from '@cyclamenthread/state'
import type { RevisionRollout } from '../await-revision.js'
import type { Command, FailedReport } from '../command.js'

/** Result of `keys withdraw`. */
export interface WithdrawResult {
  readonly revision: number
  readonly id: string
  /** Path of the declaration file that was marked; only with `--folder`. */
  readonly file?: string
  readonly rollout?: RevisionRollout
}

/** `cyclamenctl keys withdraw`: revokes a key permanently. */
export const keysWithdraw: Command<WithdrawResult> = {
  words: 'keys withdraw',
  parameters: ['key-id'],
  flags: ['storeUrl', 'folder', 'wait', 'timeoutSeconds', 'hostUrl', 'platformUrl'],
  summary: 'Withdraw a key permanently',
  help: `Changes the store directly, without an apply; hosts refuse the key within seconds.
With --folder, its declaration is also marked \`withdrawn: true\`. No later apply restores
the key, not even one of an older version of the folder.

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
    `key ${result.id} is withdrawn in revision ${result.revision}`,
    ...(result.file === undefined ? [] : [`marked in ${result.file}; commit it`]),
    ...(result.rollout === undefined ? [] : renderRollout(result.rollout))
  ]
}

function withdrawKey (catalogue: Catalogue, id: string): Catalogue | FailedReport {
  if (!catalogue.keys.some((key) => key.id === id)) return failedReport(ExitCode.Usage, `key ${id} is not in force`)
  return { ...catalogue, keys: catalogue.keys.map((key) => key.id === id ? { ...key, withdrawn: true } : key) }
}
