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
export function catalogueDifference (before: Catalogue, after: Catalogue): CatalogueChange[] {
  const old = byTitle(before)
  const fresh = byTitle(after)
  const changes: CatalogueChange[] = []
  for (const [title, declaration] of fresh) {
    const known = old.get(title)
    if (known === undefined) changes.push(changeOf(ChangeKind.Added, declaration, []))
    else if (!isDeepStrictEqual(known, declaration)) changes.push(changeOf(ChangeKind.Changed, declaration, fieldChanges(known, declaration)))
  }
  for (const [title, declaration] of old) {
    if (!fresh.has(title)) changes.push(changeOf(ChangeKind.Removed, declaration, []))
  }
  return changes
}

/**
 * Changes as lines for people.
 *
 * @example
 * changeLines(changes) // ['+ workspace desk', '~ entry pitches', '    timeoutMs: 5000 -> 3000']
 */
export function changeLines (changes: readonly CatalogueChange[]): string[] {
  const sign = { [ChangeKind.Added]: '+', [ChangeKind.Changed]: '~', [ChangeKind.Removed]: '-' }
  return changes.flatMap((change) => [
    `${sign[change.change]} ${change.kind} ${change.name}`,
    ...change.fields.map((field) => `    ${field.field}: ${valueText(field.before)} -> ${valueText(field.after)}`)
  ])
}

function byTitle (catalogue: Catalogue): Map<string, Declaration> {
  return new Map(toDeclarations(catalogue).map((declaration) => [`${declaration.kind} ${nameOf(declaration)}`, declaration]))
}

function changeOf (change: ChangeKind, declaration: Declaration, fields: readonly FieldChange[]): CatalogueChange {
  return { change, kind: declaration.kind, name: nameOf(declaration), fields }
}

function fieldChanges (before: object, after: object, prefix = ''): FieldChange[] {
  const old: Readonly<Record<string, unknown>> = { ...before }
  const fresh: Readonly<Record<string, unknown>> = { ...after }
  const names = [...new Set([...Object.keys(old), ...Object.keys(fresh)])]
  return names.flatMap((name) => {
    const [was, is] = [old[name], fresh[name]]
    if (isDeepStrictEqual(was, is)) return []
    if (isPlain(was) && isPlain(is)) return fieldChanges(was, is, `${prefix}${name}.`)
    return [{ field: prefix + name, before: was, after: is }]
  })
}

function isPlain (value: unknown): value is object {
  return typeof value === 'object' && value !== null && !Array.isArray(value)
}

function valueText (value: unknown): string {
  return value === undefined ? '(absent)' : JSON.stringify(value)
}
