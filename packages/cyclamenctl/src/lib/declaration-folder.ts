import { readdir, readFile, stat } from 'node:fs/promises'
import { join } from 'node:path'
import { failure, success } from '@cyclamenthread/state'
import { toCatalogue } from './declaration-catalogue.js'
import { checkDeclarations } from './declaration-check.js'
import { MAX_FILE_BYTES, parseDeclarations } from './declaration-file.js'
import type { Catalogue, Outcome } from '@cyclamenthread/state'
import type { DeclarationFault } from './declaration-fault.js'
import type { DeclarationFile, LocatedDeclaration } from './declaration-file.js'

/**
 * Reads every `.yaml` and `.yml` file of a folder, or names all faults at once.
 *
 * @param folder path of the folder
 * @example
 * const placed = await readPlaced('examples/chalk-squares')
 */
export async function readLocatedDeclarations (folder: string): Promise<Outcome<readonly LocatedDeclaration[], readonly DeclarationFault[]>> {
  const names = await readdir(folder).catch((error: NodeJS.ErrnoException) => error)
  if (names instanceof Error) return failure([{ file: folder, line: 1, message: `the folder can't be read (${names.code ?? names.message})` }])
  const files = names.filter((name) => /\.ya?ml$/.test(name)).sort()
  if (files.length === 0) return failure([{ file: folder, line: 1, message: 'the folder holds no .yaml file' }])
  const read: DeclarationFile[] = []
  for (const file of files) read.push(await readDeclarationFile(folder, file))
  const declarations = read.flatMap((part) => part.declarations)
  const faults = read.flatMap((part) => part.faults)
  // What refers to a faulty declaration would be named as well; that is noise until the fault is mended.
  const crossFileFaults = faults.length === 0 ? checkDeclarations(declarations) : checkDeclarations(declarations).filter((fault) => !fault.message.endsWith('not declared'))
  const all = [...faults, ...crossFileFaults].sort(compareByLocation)
  return all.length > 0 ? failure(all) : success(declarations)
}

/**
 * The catalogue that a folder declares, or all its faults.
 *
 * @param folder path of the folder
 * @example
 * const catalogue = await readDeclarations('examples/chalk-squares')
 */
export async function readDeclaredCatalogue (folder: string): Promise<Outcome<Catalogue, readonly DeclarationFault[]>> {
  const located = await readLocatedDeclarations(folder)
  return located.ok ? success(toCatalogue(located.value.map((item) => item.declaration))) : located
}

function compareByLocation (a: DeclarationFault, b: DeclarationFault): number {
  return a.file < b.file ? -1 : a.file > b.file ? 1 : a.line - b.line
}

async function readDeclarationFile (folder: string, file: string): Promise<DeclarationFile> {
  const path = join(folder, file)
  try {
    const { size } = await stat(path)
    // A file that is far too large is not even read into memory.
    if (size > MAX_FILE_BYTES) return { declarations: [], faults: [{ file, line: 1, message: `the file exceeds ${MAX_FILE_BYTES} bytes; split it` }] }
    return parseDeclarations(file, await readFile(path, 'utf8'))
  } catch (error) {
    const code = error instanceof Error && 'code' in error ? String(error.code) : 'unknown error'
    return { declarations: [], faults: [{ file, line: 1, message: `the file can't be read (${code})` }] }
  }
}
