import { readdir, readFile } from 'node:fs/promises'
import { join } from 'node:path'
import { LineCounter, parseAllDocuments } from 'yaml'
import { failure, success, unreachable } from '@cyclamenthread/state'
import { DeclarationKind, declarationSchema } from './declaration.js'
import type { Document } from 'yaml'
import type { Catalogue, Outcome } from '@cyclamenthread/state'
import type { Declaration } from './declaration.js'

/** A fault in a declaration and where it stands. */
export interface DeclarationFault {
  readonly file: string
  /** Line in the file, from 1. */
  readonly line: number
  readonly message: string
}

/** A declaration and where it stands. */
interface PlacedDeclaration {
  readonly declaration: Declaration
  readonly file: string
  readonly line: number
}

/**
 * Reads every `.yaml` file of a folder into a catalogue, or names all faults at once.
 *
 * @param folder path of the folder
 * @example
 * const catalogue = await readDeclarations('examples/chalk-squares')
 */
export async function readDeclarations (folder: string): Promise<Outcome<Catalogue, readonly DeclarationFault[]>> {
  const files = (await readdir(folder)).filter((file) => /\.ya?ml$/.test(file)).sort()
  const faults: DeclarationFault[] = []
  const placed: PlacedDeclaration[] = []
  for (const file of files) {
    const text = await readFile(join(folder, file), 'utf8')
    readFileText(file, text, placed, faults)
  }
  faults.push(...referenceFaults(placed))
  return faults.length > 0 ? failure(faults) : success(toCatalogue(placed.map((item) => item.declaration)))
}

function readFileText (file: string, text: string, placed: PlacedDeclaration[], faults: DeclarationFault[]): void {
  const lines = new LineCounter()
  const documents = parseAllDocuments(text, { lineCounter: lines })
  for (const document of Array.isArray(documents) ? documents : []) {
    const start = lines.linePos(document.range?.[0] ?? 0).line
    for (const error of document.errors) faults.push({ file, line: lines.linePos(error.pos[0]).line, message: error.message.split('\n')[0] ?? '' })
    if (document.errors.length > 0 || document.contents === null) continue
    const parsed = declarationSchema.safeParse(document.toJS())
    if (parsed.success) placed.push({ declaration: parsed.data, file, line: start })
    else faults.push(...parsed.error.issues.map((issue) => ({ file, line: lineOf(document, issue.path, lines), message: `${issue.path.join('.') || 'document'}: ${issue.message}` })))
  }
}

/** Line of the nearest node on the way to a path that exists. */
function lineOf (document: Document, path: readonly PropertyKey[], lines: LineCounter): number {
  for (let length = path.length; length >= 0; length--) {
    const node = length === 0 ? document.contents : document.getIn(path.slice(0, length), true)
    const range = typeof node === 'object' && node !== null && 'range' in node ? node.range as readonly number[] | null : null
    if (range !== null && range[0] !== undefined) return lines.linePos(range[0]).line
  }
  return 1
}

/** Names that are declared twice or referred to and not declared. */
function referenceFaults (placed: readonly PlacedDeclaration[]): DeclarationFault[] {
  const faults: DeclarationFault[] = []
  const names = new Set<string>()
  for (const { declaration, file, line } of placed) {
    const name = `${declaration.kind} ${nameOf(declaration)}`
    if (names.has(name)) faults.push({ file, line, message: `${name} is declared twice` })
    names.add(name)
  }
  for (const { declaration, file, line } of placed) {
    for (const reference of referencesOf(declaration)) {
      if (!names.has(reference)) faults.push({ file, line, message: `${declaration.kind} ${nameOf(declaration)} refers to ${reference}, which is not declared` })
    }
  }
  return faults
}

function nameOf (declaration: Declaration): string {
  return declaration.kind === DeclarationKind.Key ? declaration.id : declaration.name
}

function referencesOf (declaration: Declaration): string[] {
  switch (declaration.kind) {
    case DeclarationKind.Workspace: return []
    case DeclarationKind.Pool: return []
    case DeclarationKind.Entry: return [`${DeclarationKind.Pool} ${declaration.pool}`]
    case DeclarationKind.Key: return [`${DeclarationKind.Workspace} ${declaration.workspace}`, ...(declaration.entries ?? []).map((entry) => `${DeclarationKind.Entry} ${entry}`)]
    default: return unreachable(declaration)
  }
}

function toCatalogue (declarations: readonly Declaration[]): Catalogue {
  const catalogue: Catalogue = { workspaces: [], keys: [], entries: [], pools: [] }
  for (const declaration of declarations) {
    switch (declaration.kind) {
      case DeclarationKind.Workspace: {
        const { kind, ...workspace } = declaration
        catalogue.workspaces.push(workspace)
        break
      }
      case DeclarationKind.Key: {
        const { kind, ...key } = declaration
        catalogue.keys.push(key)
        break
      }
      case DeclarationKind.Entry: {
        const { kind, type, ...entry } = declaration
        catalogue.entries.push({ ...entry, kind: type })
        break
      }
      case DeclarationKind.Pool: {
        const { kind, type, ...pool } = declaration
        catalogue.pools.push({ ...pool, kind: type })
        break
      }
      default: unreachable(declaration)
    }
  }
  return catalogue
}
