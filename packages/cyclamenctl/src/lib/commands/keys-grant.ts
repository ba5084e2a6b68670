import { randomBytes } from 'node:crypto'
import { access, writeFile } from 'node:fs/promises'
import { join } from 'node:path'
import { hashKey, keySchema } from '@cyclamenthread/state'
import { awaitRevision, isRolloutComplete, renderRollout, rolloutDeadline } from '../await-revision.js'
import { failedReport } from '../command.js'
import { formatDeclarations } from '../declaration-catalogue.js'
import { DeclarationKind } from '../declaration.js'
import { ExitCode } from '../exit-code.js'
import { withStore } from '../operator-store.js'
import type { Catalogue, Key } from '@cyclamenthread/state'
import type { RevisionRollout } from '../await-revision.js'
import type { Command, FailedReport } from '../command.js'

/** Length of the random part of a token, in bytes. */
const TOKEN_BYTES = 32

/** Length of a key's salt, in bytes. */
const SALT_BYTES = 16

/** Result of `keys grant`, with the only copy of the token. */
export interface GrantResult {
  readonly revision: number
  readonly id: string
  readonly workspace: string
  /** Shown once; the store keeps only a salted hash of it. */
  readonly token: string
  /** Path of the declaration file that was written; only with `--folder`. */
  readonly file?: string
  readonly rollout?: RevisionRollout
}

/** `cyclamenctl keys grant`: creates a key and prints its token once. */
export const keysGrant: Command<GrantResult> = {
  words: 'keys grant',
  parameters: ['workspace', 'key-id'],
  flags: ['storeUrl', 'entry', 'folder', 'wait', 'timeoutSeconds', 'hostUrl', 'platformUrl'],
  summary: 'Grant a new key to a workspace',
  help: `Generates a random token and prints it once; the store keeps only a salted hash of it.
With --folder, the key's declaration is also written to that folder: commit it, or the
next apply of the folder withdraws the key. With --wait, returns when every live host
accepts the key. A key id can't be reused.

Example
  cyclamenctl keys grant booking-desk booking-desk-2 --entry pitches --folder examples/chalk-squares --wait`,
  run: async (context) => {
    const [workspace = '', id = ''] = context.input
    const { key, token } = generateKey(workspace, id, context.flags.entry)
    const parsed = keySchema.safeParse(key)
    if (!parsed.success) return failedReport(ExitCode.Usage, ...parsed.error.issues.map((issue) => `${issue.path.join('.')}: ${issue.message}`))
    const path = context.flags.folder === undefined ? undefined : join(context.flags.folder, `key-${id}.yaml`)
    const exists = path !== undefined && await access(path).then(() => true, () => false)
    if (exists) return failedReport(ExitCode.Usage, `${path} already exists; expected a new key id`)
    return await withStore(context, async (store) => {
      // The file is written before the store. If the store write fails, the file can be deleted; in
      // the opposite order a crash would leave an undeclared key, which the next apply withdraws.
      if (path !== undefined) await writeFile(path, formatDeclarations([{ kind: DeclarationKind.Key, ...parsed.data }]))
      const write = await store.update((catalogue) => addKey(catalogue, parsed.data))
      if (!write.ok) return path === undefined ? write : { ...write, problems: [...write.problems, `delete ${path} if you no longer want this key`] }
      const rollout = context.flags.wait === true ? await awaitRevision(write.revision, context.flags, rolloutDeadline(context.flags)) : undefined
      return {
        ok: true,
        exit: rollout === undefined || isRolloutComplete(rollout) ? ExitCode.Success : ExitCode.Incomplete,
        result: { revision: write.revision, id, workspace, token, ...(path === undefined ? {} : { file: path }), ...(rollout === undefined ? {} : { rollout }) }
      }
    })
  },
  render: (result) => [
    `key ${result.id} of workspace ${result.workspace} is granted in revision ${result.revision}`,
    ...(result.file === undefined ? [] : [`declared in ${result.file}; commit it`]),
    ...(result.rollout === undefined ? [] : renderRollout(result.rollout)),
    'token, shown only once:',
    result.token
  ]
}

/** Generates a key and its token. */
function generateKey (workspace: string, id: string, entries: readonly string[] | undefined): { readonly key: Key, readonly token: string } {
  const token = `${id}_${randomBytes(TOKEN_BYTES).toString('hex')}`
  const salt = randomBytes(SALT_BYTES).toString('hex')
  const limited = entries === undefined || entries.length === 0 ? {} : { entries: [...entries] }
  return { key: { id, workspace, salt, hash: hashKey(salt, token), ...limited, withdrawn: false }, token }
}

/** Adds a key to the catalogue. Does nothing if an earlier attempt of this run has already added it. */
function addKey (catalogue: Catalogue, key: Key): Catalogue | FailedReport {
  const known = catalogue.keys.find((other) => other.id === key.id)
  if (known !== undefined) {
    return known.hash === key.hash ? catalogue : failedReport(ExitCode.Usage, `key ${key.id} already exists${known.withdrawn ? ' and is withdrawn' : ''}; expected a new key id`)
  }
  if (!catalogue.workspaces.some((workspace) => workspace.name === key.workspace)) return failedReport(ExitCode.Usage, `workspace ${key.workspace} is not in force`)
  const absent = (key.entries ?? []).filter((name) => !catalogue.entries.some((entry) => entry.name === name))
  if (absent.length > 0) return failedReport(ExitCode.Usage, ...absent.map((name) => `entry ${name} is not in force`))
  return { ...catalogue, keys: [...catalogue.keys, key] }
}
