import { failedReport } from '../command.js'
import { readDeclaredCatalogue } from '../declaration-folder.js'
import { ExitCode } from '../exit-code.js'
import type { Catalogue } from '@cyclamenthread/state'
import type { Command, FailedReport } from '../command.js'

/** What a valid folder declares. */
export interface ValidateResult {
  readonly folder: string
  readonly workspaces: number
  readonly keys: number
  readonly entries: number
  readonly pools: number
}

/** `cyclamenctl validate`: checks a folder without talking to anything. */
export const validate: Command<ValidateResult> = {
  words: 'validate',
  parameters: ['folder'],
  flags: [],
  summary: 'Check the declarations of a folder',
  help: `Reads every .yaml and .yml file of the folder and names every fault with its file
and line. Talks to nothing, so it fits a check in version control.

Example
  cyclamenctl validate examples/chalk-squares`,
  run: async ({ input }) => {
    const folder = input[0] ?? ''
    const catalogue = await loadCatalogue(folder)
    if ('problems' in catalogue) return catalogue
    const { workspaces, keys, entries, pools } = catalogue
    return {
      ok: true,
      exit: ExitCode.Success,
      result: { folder, workspaces: workspaces.length, keys: keys.length, entries: entries.length, pools: pools.length }
    }
  },
  render: (result) => [`${result.folder} is valid: ${result.workspaces} workspaces, ${result.keys} keys, ${result.entries} entries, ${result.pools} pools`]
}

/** The catalogue that a folder declares, or a report that names every fault. */
export async function loadCatalogue (folder: string): Promise<Catalogue | FailedReport> {
  const read = await readDeclaredCatalogue(folder)
  return read.ok ? read.value : failedReport(ExitCode.Usage, ...read.failure.map((fault) => `${fault.file}:${fault.line}: ${fault.message}`))
}
