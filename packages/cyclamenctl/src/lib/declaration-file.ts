import { isAlias, isNode, LineCounter, parseAllDocuments, visit } from 'yaml'
import { declarationSchema } from './declaration.js'
import { toDeclarationFaults } from './declaration-fault.js'
import { MAX_NESTING, exceedsMaxNesting } from './nesting.js'
import type { Document } from 'yaml'
import type { Declaration } from './declaration.js'
import type { DeclarationFault, LocatedDocument } from './declaration-fault.js'

/** Largest file of declarations, in bytes. */
export const MAX_FILE_BYTES = 1024 * 1024

/** A declaration and where it stands. */
export interface LocatedDeclaration {
  readonly declaration: Declaration
  readonly file: string
  readonly line: number
}

/** What a file holds: the declarations without faults, and the faults of the others. */
export interface DeclarationFile {
  readonly declarations: readonly LocatedDeclaration[]
  readonly faults: readonly DeclarationFault[]
}

/**
 * Reads the YAML documents of one file. Never throws, whatever the text.
 *
 * @param file name for the faults
 * @param text contents of the file
 * @example
 * parseDeclarations('desk.yaml', 'kind: workspace\nname: desk\nowner: booking desk\n')
 */
export function parseDeclarations (file: string, text: string): DeclarationFile {
  if (Buffer.byteLength(text) > MAX_FILE_BYTES) return rejectFile(file, `the file exceeds ${MAX_FILE_BYTES} bytes; split it`)
  if (exceedsMaxNesting(text)) return rejectFile(file, `the file nests deeper than ${MAX_NESTING} levels`)
  return parseText(file, text)
}

function rejectFile (file: string, message: string): DeclarationFile {
  return { declarations: [], faults: [{ file, line: 1, message }] }
}

function parseText (file: string, text: string): DeclarationFile {
  const lines = new LineCounter()
  const documents: readonly Document[] = parseAllDocuments(text, { lineCounter: lines, prettyErrors: false, logLevel: 'silent' })
  if (documents.length === 0) return rejectFile(file, 'the file holds no declaration')
  const read = documents.map((document) => readDocument({ file, document, lines }))
  return { declarations: read.flatMap((part) => part.declarations), faults: read.flatMap((part) => part.faults) }
}

function readDocument (located: LocatedDocument): DeclarationFile {
  const { file, document, lines } = located
  const line = lines.linePos(startOffset(document)).line
  const faults = [...syntaxFaults(located), ...aliasFaults(located)]
  if (faults.length > 0) return { declarations: [], faults }
  if (document.contents === null || document.toJS() === null) return { declarations: [], faults: [{ file, line, message: 'the document is empty' }] }
  const parsed = declarationSchema.safeParse(document.toJS())
  return parsed.success
    ? { declarations: [{ declaration: parsed.data, file, line }], faults: [] }
    : { declarations: [], faults: toDeclarationFaults(located, parsed.error.issues) }
}

function startOffset (document: Document): number {
  return document.contents?.range?.[0] ?? document.range?.[0] ?? 0
}

function syntaxFaults ({ file, document, lines }: LocatedDocument): DeclarationFault[] {
  return [...document.errors, ...document.warnings].map((error) => {
    return { file, line: lines.linePos(error.pos[0]).line, message: error.message.split('\n')[0] ?? '' }
  })
}

/** Anchors and aliases are refused: what a declaration says has to stand where it is read. */
function aliasFaults ({ file, document, lines }: LocatedDocument): DeclarationFault[] {
  const faults: DeclarationFault[] = []
  visit(document, (_, node) => {
    if (!isNode(node)) return
    const anchored = isAlias(node) || ('anchor' in node && node.anchor !== undefined)
    if (anchored) faults.push({ file, line: lines.linePos(node.range?.[0] ?? 0).line, message: 'anchors and aliases are not accepted; write the value out' })
  })
  return faults
}
