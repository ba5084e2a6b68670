import { consola } from 'consola'
import meow from 'meow'
import { unreachable } from '@cyclamenthread/state'
import { ApplyStatus, CatalogueStore, HttpObjectStore } from '@cyclamenthread/protocol'
import { deadlineAfter } from '@cyclamenthread/transport'
import { readDeclarations } from './declaration-folder.js'
import { ExitCode } from './exit-code.js'
import type { Catalogue } from '@cyclamenthread/state'

/** Longest a command works on the store, in milliseconds. */
const COMMAND_MS = 30_000

const HELP = `
  Usage
    $ cyclamenctl <command> [flags]

  Commands
    validate <folder>   Check the declarations of a folder
    apply <folder>      Put the declarations of a folder in force

  Flags
    --store-url  Base URL of the object service [CYCLAMENTHREAD_STORE_URL]
    --json       Print one JSON document

  Exit codes
    0 done, 1 failed, 2 usage or faulty declarations, 3 conflict with another
    operator, 4 outcome unknown, 5 store or host can't be reached
`

/**
 * Runs one command.
 *
 * @param argv arguments after the program's name
 * @returns the exit code
 * @internal
 */
export async function run (argv: readonly string[]): Promise<ExitCode> {
  const cli = meow(HELP, {
    importMeta: import.meta,
    argv,
    flags: { storeUrl: { type: 'string' }, json: { type: 'boolean', default: false } }
  })
  const [command, folder] = cli.input
  if (folder === undefined || (command !== 'validate' && command !== 'apply')) {
    consola.error('expected `validate <folder>` or `apply <folder>`; see --help')
    return ExitCode.Usage
  }
  const declarations = await readDeclarations(folder)
  if (!declarations.ok) {
    for (const fault of declarations.failure) consola.error(`${fault.file}:${fault.line}: ${fault.message}`)
    return ExitCode.Usage
  }
  if (command === 'validate') {
    consola.success('the declarations are valid')
    return ExitCode.Success
  }
  const storeUrl = cli.flags.storeUrl ?? process.env['CYCLAMENTHREAD_STORE_URL']
  if (storeUrl === undefined) {
    consola.error('--store-url (CYCLAMENTHREAD_STORE_URL) is missing')
    return ExitCode.Usage
  }
  return await apply(storeUrl, declarations.value)
}

async function apply (storeUrl: string, catalogue: Catalogue): Promise<ExitCode> {
  const store = new HttpObjectStore(storeUrl)
  const catalogues = new CatalogueStore(store)
  const deadline = deadlineAfter(COMMAND_MS)
  const planned = await catalogues.read(deadline)
  if (!planned.ok) {
    consola.error('the store can\'t be read')
    await store.close()
    return ExitCode.Unavailable
  }
  const outcome = await catalogues.apply(catalogue, planned.value, deadline)
  await store.close()
  switch (outcome.status) {
    case ApplyStatus.Applied:
      consola.success(`revision ${outcome.revision} is accepted`)
      return ExitCode.Success
    case ApplyStatus.Conflict:
      consola.error(`the catalogue changed meanwhile; it is now at revision ${outcome.revision ?? 'unknown'}`)
      return ExitCode.Conflict
    case ApplyStatus.NotWritten:
      consola.error('nothing was changed: the store can\'t be written')
      return ExitCode.Unavailable
    case ApplyStatus.Unknown:
      consola.error('the store gave no answer; whether the change took effect is not known')
      return ExitCode.Unknown
    default: return unreachable(outcome.status)
  }
}

/** Runs the command line of this process. */
export async function main (): Promise<void> {
  process.exitCode = await run(process.argv.slice(2))
}
