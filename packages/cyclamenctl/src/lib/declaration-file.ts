import { isAlias, isNode, LineCounter, parseAllDocuments, visit } from 'yaml'
import { declarationSchema } from './declaration.js'
import { schemaFaults } from './declaration-fault.js'
import { MAX_NESTING, nestsTooDeep } from './nesting.js'
import type { Document } from 'yaml'
import type { Declaration } from './declaration.js'
import type { DeclarationFault, PlacedDocument } from './declaration-fault.js'

/** Largest file of declarations, in bytes. */
export const MAX_FILE_BYTES = 1024 * 1024

/** A declaration and where it stands. */
export interface PlacedDeclaration {
  readonly declaration: Declaration
  readonly file: string
  readonly line: number
}

/** What a file holds: the declarations without faults, and the faults of the others. */
export interface DeclarationFile {
  readonly placed: readonly PlacedDeclaration[]
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
  if (Buffer.byteLength(text) > MAX_FILE_BYTES) return faulty(file, `the file exceeds ${MAX_FILE_BYTES} bytes; split it`)
  if (nestsTooDeep(text)) return faulty(file, `the file nests deeper than ${MAX_NESTING} levels`)
  return parseText(file, text)
}

function faulty (file: string, message: string): DeclarationFile {
  return { placed: [], faults: [{ file, line: 1, message }] }
}

function parseText (file: string, text: string): DeclarationFile {
  const lines = new LineCounter()
  const documents: readonly Document[] = parseAllDocuments(text, { lineCounter: lines, prettyErrors: false, logLevel: 'silent' })
  if (documents.length === 0) return faulty(file, 'the file holds no declaration')
  const read = documents.map((document) => readDocument({ file, document, lines }))
  return { placed: read.flatMap((part) => part.placed), faults: read.flatMap((part) => part.faults) }
}

function readDocument (placed: PlacedDocument): DeclarationFile {
  const { file, document, lines } = placed
  const line = lines.linePos(startOf(document)).line
  const faults = [...syntaxFaults(placed), ...aliasFaults(placed)]
  if (faults.length > 0) return { placed: [], faults }
  if (document.contents === null || document.toJS() === null) return { placed: [], faults: [{ file, line, message: 'the document is empty' }] }
  const parsed = declarationSchema.safeParse(document.toJS())
  return parsed.success
    ? { placed: [{ declaration: parsed.data, file, line }], faults: [] }
    : { placed: [], faults: schemaFaults(placed, parsed.error.issues) }
}

function startOf (document: Document): number {
  return document.contents?.range?.[0] ?? document.range?.[0] ?? 0
}

function syntaxFaults ({ file, document, lines }: PlacedDocument): DeclarationFault[] {
  return [...document.errors, ...document.warnings].map((error) => {
    return { file, line: lines.linePos(error.pos[0]).line, message: error.message.split('\n')[0] ?? '' }
  })
}

/** Anchors and aliases are refused: what a declaration says has to stand where it is read. */
function aliasFaults ({ file, document, lines }: PlacedDocument): DeclarationFault[] {
  const faults: DeclarationFault[] = []
  visit(document, (_, node) => {
    if (!isNode(node)) return
    const anchored = isAlias(node) || ('anchor' in node && node.anchor !== undefined)
    if (anchored) faults.push({ file, line: lines.linePos(node.range?.[0] ?? 0).line, message: 'anchors and aliases are not accepted; write the value out' })
  })
  return faults
}
