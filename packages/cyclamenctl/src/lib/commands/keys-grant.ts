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

/** Bytes of the random part of a token. */
const TOKEN_BYTES = 32

/** Bytes of a key's salt. */
const SALT_BYTES = 16

/** A key that was granted, and the only copy of its token. */
export interface GrantResult {
  readonly revision: number
  readonly id: string
  readonly workspace: string
  /** Shown once; only its salted hash is kept. */
  readonly token: string
  /** The declaration that was written, when a folder was given. */
  readonly file?: string
  readonly rollout?: RevisionRollout
}

/** `cyclamenctl keys grant`: makes a key and prints its token once. */
export const keysGrant: Command<GrantResult> = {
  words: 'keys grant',
  parameters: ['workspace', 'key-id'],
  flags: ['storeUrl', 'entry', 'folder', 'wait', 'timeoutSeconds', 'hostUrl', 'platformUrl'],
  summary: 'Grant a new key to a workspace',
  help: `Makes a random token and prints it once; the store keeps only its salted hash. With
--folder the key's declaration is written there too: commit it, or the next apply of
the folder withdraws the key. With --wait it answers when every live host knows the key.
A key id is never used twice.

Example
  cyclamenctl keys grant booking-desk booking-desk-2 --entry pitches --folder examples/chalk-squares --wait`,
  run: async (context) => {
    const [workspace = '', id = ''] = context.input
    const { key, token } = generateKey(workspace, id, context.flags.entry)
    const parsed = keySchema.safeParse(key)
    if (!parsed.success) return failedReport(ExitCode.Usage, ...parsed.error.issues.map((issue) => `${issue.path.join('.')}: ${issue.message}`))
    const path = context.flags.folder === undefined ? undefined : join(context.flags.folder, `key-${id}.yaml`)
    const exists = path !== undefined && await access(path).then(() => true, () => false)
    if (exists) return failedReport(ExitCode.Usage, `${path} exists already; expected a new key id`)
    return await withStore(context, async (store) => {
      // The declaration goes first: if the store then refuses, the file can be removed; the other
      // way round a crash would leave a key in force that the next apply withdraws.
      if (path !== undefined) await writeFile(path, formatDeclarations([{ kind: DeclarationKind.Key, ...parsed.data }]))
      const write = await store.update((catalogue) => addKey(catalogue, parsed.data))
      if (!write.ok) return path === undefined ? write : { ...write, problems: [...write.problems, `remove ${path} if the key is not wanted any more`] }
      const rollout = context.flags.wait === true ? await awaitRevision(write.revision, context.flags, rolloutDeadline(context.flags)) : undefined
      return {
        ok: true,
        exit: rollout === undefined || isRolloutComplete(rollout) ? ExitCode.Success : ExitCode.Incomplete,
        result: { revision: write.revision, id, workspace, token, ...(path === undefined ? {} : { file: path }), ...(rollout === undefined ? {} : { rollout }) }
      }
    })
  },
  render: (result) => [
    `key ${result.id} of workspace ${result.workspace} is granted with revision ${result.revision}`,
    ...(result.file === undefined ? [] : [`declared in ${result.file}; commit it`]),
    ...(result.rollout === undefined ? [] : renderRollout(result.rollout)),
    'its token, shown only this once:',
    result.token
  ]
}

/** A random key and the token that proves it. */
function generateKey (workspace: string, id: string, entries: readonly string[] | undefined): { readonly key: Key, readonly token: string } {
  const token = `${id}_${randomBytes(TOKEN_BYTES).toString('hex')}`
  const salt = randomBytes(SALT_BYTES).toString('hex')
  const limited = entries === undefined || entries.length === 0 ? {} : { entries: [...entries] }
  return { key: { id, workspace, salt, hash: hashKey(salt, token), ...limited, withdrawn: false }, token }
}

/** The catalogue with one more key. A key that is there already, by an earlier attempt of this run, changes nothing. */
function addKey (catalogue: Catalogue, key: Key): Catalogue | FailedReport {
  const known = catalogue.keys.find((other) => other.id === key.id)
  if (known !== undefined) {
    return known.hash === key.hash ? catalogue : failedReport(ExitCode.Usage, `key ${key.id} exists already${known.withdrawn ? ' and is withdrawn' : ''}; expected a new key id`)
  }
  if (!catalogue.workspaces.some((workspace) => workspace.name === key.workspace)) return failedReport(ExitCode.Usage, `workspace ${key.workspace} is not in force`)
  const absent = (key.entries ?? []).filter((name) => !catalogue.entries.some((entry) => entry.name === name))
  if (absent.length > 0) return failedReport(ExitCode.Usage, ...absent.map((name) => `entry ${name} is not in force`))
  return { ...catalogue, keys: [...catalogue.keys, key] }
}
