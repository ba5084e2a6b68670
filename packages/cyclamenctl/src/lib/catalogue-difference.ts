import { isDeepStrictEqual } from 'node:util'
import { toDeclarations } from './declaration-catalogue.js'
import { nameOf } from './declaration.js'
import type { Catalogue } from '@cyclamenthread/state'
import type { Declaration, DeclarationKind } from './declaration.js'

/** What happens to a declared thing. */
export enum ChangeKind {
  Added = 'added',
  Changed = 'changed',
  Removed = 'removed'
}

/** A member that changes; undefined stands for absent. */
export interface FieldChange {
  readonly field: string
  readonly before: unknown
  readonly after: unknown
}

/** One declared thing that changes. */
export interface CatalogueChange {
  readonly change: ChangeKind
  readonly kind: DeclarationKind
  readonly name: string
  /** The members that change; empty for what is added or removed. */
  readonly fields: readonly FieldChange[]
}

/**
 * What putting one catalogue in the place of another changes, by kind and name.
 *
 * @example
 * catalogueDifference(inForce, declared) // [] when nothing changes
 */
export function diffCatalogues (before: Catalogue, after: Catalogue): CatalogueChange[] {
  const old = indexByTitle(before)
  const fresh = indexByTitle(after)
  const changes: CatalogueChange[] = []
  for (const [title, declaration] of fresh) {
    const known = old.get(title)
    if (known === undefined) changes.push(toCatalogueChange(ChangeKind.Added, declaration, []))
    else if (!isDeepStrictEqual(known, declaration)) changes.push(toCatalogueChange(ChangeKind.Changed, declaration, diffFields(known, declaration)))
  }
  for (const [title, declaration] of old) {
    if (!fresh.has(title)) changes.push(toCatalogueChange(ChangeKind.Removed, declaration, []))
  }
  return changes
}

/**
 * Changes as lines for people.
 *
 * @example
 * changeLines(changes) // ['+ workspace desk', '~ entry pitches', '    timeoutMs: 5000 -> 3000']
 */
export function renderChanges (changes: readonly CatalogueChange[]): string[] {
  const sign = { [ChangeKind.Added]: '+', [ChangeKind.Changed]: '~', [ChangeKind.Removed]: '-' }
  return changes.flatMap((change) => [
    `${sign[change.change]} ${change.kind} ${change.name}`,
    ...change.fields.map((field) => `    ${field.field}: ${formatValue(field.before)} -> ${formatValue(field.after)}`)
  ])
}

function indexByTitle (catalogue: Catalogue): Map<string, Declaration> {
  return new Map(toDeclarations(catalogue).map((declaration) => [`${declaration.kind} ${nameOf(declaration)}`, declaration]))
}

function toCatalogueChange (change: ChangeKind, declaration: Declaration, fields: readonly FieldChange[]): CatalogueChange {
  return { change, kind: declaration.kind, name: nameOf(declaration), fields }
}

function diffFields (before: object, after: object, prefix = ''): FieldChange[] {
  const old: Readonly<Record<string, unknown>> = { ...before }
  const fresh: Readonly<Record<string, unknown>> = { ...after }
  const names = [...new Set([...Object.keys(old), ...Object.keys(fresh)])]
  return names.flatMap((name) => {
    const [was, is] = [old[name], fresh[name]]
    if (isDeepStrictEqual(was, is)) return []
    if (isPlainObject(was) && isPlainObject(is)) return diffFields(was, is, `${prefix}${name}.`)
    return [{ field: prefix + name, before: was, after: is }]
  })
}

function isPlainObject (value: unknown): value is object {
  return typeof value === 'object' && value !== null && !Array.isArray(value)
}

function formatValue (value: unknown): string {
  return value === undefined ? '(absent)' : JSON.stringify(value)
}
