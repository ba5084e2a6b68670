import { declarationSchemas, DeclarationKind } from './declaration.js'
import { nearestName } from '@cyclamenthread/state'
import type { LineCounter, Document, Node } from 'yaml'
import type * as z from 'zod'

/** A fault in a declaration and where it stands. */
export interface DeclarationFault {
  readonly file: string
  /** Line in the file, from 1. */
  readonly line: number
  readonly message: string
}

/** Where a document stands, to find the lines of its faults. */
export interface LocatedDocument {
  readonly file: string
  readonly document: Document
  readonly lines: LineCounter
}

type Issue = z.core.$ZodIssue

/**
 * The faults that a schema found in a document, each with the line it stands on.
 *
 * @example
 * schemaFaults(placed, parsed.error.issues)
 */
export function toDeclarationFaults (located: LocatedDocument, issues: readonly Issue[]): DeclarationFault[] {
  return issues.flatMap((issue) => {
    if (issue.code === 'unrecognized_keys') return unknownFieldFaults(located, issue.path, issue.keys)
    return [{ file: located.file, line: findLine(located, issue.path), message: `${formatPath(issue.path)}: ${formatIssue(located, issue)}` }]
  })
}

function unknownFieldFaults (located: LocatedDocument, path: readonly PropertyKey[], keys: readonly string[]): DeclarationFault[] {
  return keys.map((key) => {
    const suggestion = path.length === 0 ? nearestName(key, knownFieldNames(located)) : undefined
    const hint = suggestion === undefined ? '' : `; did you mean ${suggestion}?`
    return { file: located.file, line: findLine(located, [...path, key]), message: `${formatPath([...path, key])}: unknown field${hint}` }
  })
}

function knownFieldNames (located: LocatedDocument): string[] {
  const kind = Object.values(DeclarationKind).find((known) => known === located.document.get('kind'))
  return kind === undefined ? [] : Object.keys(declarationSchemas[kind].shape)
}

function formatIssue (located: LocatedDocument, issue: Issue): string {
  if (issue.code === 'invalid_union') return `expected one of ${Object.values(DeclarationKind).join(', ')}`
  const absent = issue.path.length > 0 && located.document.getIn(issue.path) === undefined
  if (absent && issue.code === 'invalid_type') return `missing; expected ${issue.expected}`
  if (absent && issue.code === 'invalid_value') return `missing; expected one of ${issue.values.join(', ')}`
  if (issue.code === 'invalid_format') return `expected ${issue.message.replace(/^Invalid /, 'a valid ')}`
  const message = issue.message.replace(/^Invalid (input|option): /, '')
  const unquoted = issue.code === 'invalid_type' && issue.expected === 'string' && /received (number|boolean|date)/i.test(message)
  return unquoted ? `${message}; put the value in quotes` : message
}

function formatPath (path: readonly PropertyKey[]): string {
  return path.length === 0 ? 'document' : path.map(String).join('.')
}

/** Line of the nearest node on the way to a path that exists. */
function findLine ({ document, lines }: LocatedDocument, path: readonly PropertyKey[]): number {
  for (let length = path.length; length >= 0; length--) {
    const node = length === 0 ? document.contents : document.getIn(path.slice(0, length), true)
    const range = (node as Node | null | undefined)?.range
    if (range !== null && range !== undefined) return lines.linePos(range[0]).line
  }
  return 1
}
