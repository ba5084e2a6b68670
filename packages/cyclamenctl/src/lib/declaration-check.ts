import { EntryKind, unreachable } from '@cyclamenthread/state'
import { DeclarationKind, nameOf } from './declaration.js'
import type { Declaration } from './declaration.js'
import type { DeclarationFault } from './declaration-fault.js'
import type { LocatedDeclaration } from './declaration-file.js'

/** Name under which work of open entries is accounted; no workspace may take it. */
const RESERVED_WORKSPACE = 'open'

/** A named thing that another declaration relies on. */
interface Reference {
  readonly kind: DeclarationKind
  readonly name: string
}

/**
 * Faults that only show when all declarations are seen together: names declared
 * twice or not at all, and members that contradict each other.
 *
 * @example
 * checkTogether(placed).map((fault) => fault.message)
 */
export function checkDeclarations (located: readonly LocatedDeclaration[]): DeclarationFault[] {
  return [
    ...duplicateFaults(located),
    ...referenceFaults(located),
    ...endpointFaults(located),
    ...located.flatMap((item) => contradictionFaults(item, located))
  ]
}

function faultAt (located: LocatedDeclaration, message: string): DeclarationFault {
  return { file: located.file, line: located.line, message }
}

function titleOf (declaration: Declaration): string {
  return `${declaration.kind} ${nameOf(declaration)}`
}

function duplicateFaults (located: readonly LocatedDeclaration[]): DeclarationFault[] {
  const first = new Map<string, LocatedDeclaration>()
  return located.flatMap((item) => {
    const title = titleOf(item.declaration)
    const before = first.get(title)
    first.set(title, before ?? item)
    return before === undefined ? [] : [faultAt(item, `${title} is declared twice; first at ${before.file}:${before.line}`)]
  })
}

function referenceFaults (located: readonly LocatedDeclaration[]): DeclarationFault[] {
  const titles = new Set(located.map((item) => titleOf(item.declaration)))
  return located.flatMap((item) => referencesOf(item.declaration)
    .filter((reference) => !titles.has(`${reference.kind} ${reference.name}`))
    .map((reference) => faultAt(item, `${titleOf(item.declaration)} refers to ${reference.kind} ${reference.name}, which is not declared`)))
}

function referencesOf (declaration: Declaration): Reference[] {
  switch (declaration.kind) {
    case DeclarationKind.Workspace: return []
    case DeclarationKind.Pool: return []
    case DeclarationKind.Entry: return [{ kind: DeclarationKind.Pool, name: declaration.pool }]
    case DeclarationKind.Key: return [
      { kind: DeclarationKind.Workspace, name: declaration.workspace },
      ...(declaration.entries ?? []).map((name) => ({ kind: DeclarationKind.Entry, name }))
    ]
    default: return unreachable(declaration)
  }
}

/** Endpoint ids are unique over all pools, and a failure domain lies in one region. */
function endpointFaults (located: readonly LocatedDeclaration[]): DeclarationFault[] {
  const faults: DeclarationFault[] = []
  const pools = new Map<string, string>()
  const regions = new Map<string, string>()
  for (const item of located) {
    if (item.declaration.kind !== DeclarationKind.Pool) continue
    for (const { id } of item.declaration.endpoints) {
      const knownPool = pools.get(id)
      if (knownPool !== undefined) faults.push(faultAt(item, `endpoint ${id} is declared twice; first in pool ${knownPool}`))
      pools.set(id, item.declaration.name)
    }
    for (const { failureDomain, region } of [...item.declaration.endpoints, ...item.declaration.capacity]) {
      const knownRegion = regions.get(failureDomain)
      if (knownRegion !== undefined && knownRegion !== region) faults.push(faultAt(item, `failure domain ${failureDomain} is in region ${region} here and in ${knownRegion} elsewhere; expected one region`))
      regions.set(failureDomain, knownRegion ?? region)
    }
  }
  return faults
}

/** Members of one declaration that contradict each other or what it refers to. */
function contradictionFaults (item: LocatedDeclaration, located: readonly LocatedDeclaration[]): DeclarationFault[] {
  const { declaration } = item
  switch (declaration.kind) {
    case DeclarationKind.Workspace:
      return declaration.name === RESERVED_WORKSPACE ? [faultAt(item, `workspace ${RESERVED_WORKSPACE}: the name is reserved for callers without a key; expected another`)] : []
    case DeclarationKind.Key: return []
    case DeclarationKind.Entry: return entryFaults(item, declaration, located)
    case DeclarationKind.Pool: return declaration.capacity
      .filter((rule) => rule.minimum > rule.maximum)
      .map((rule) => faultAt(item, `pool ${declaration.name}: capacity in ${rule.failureDomain} has minimum ${rule.minimum}; expected at most its maximum, ${rule.maximum}`))
    default: return unreachable(declaration)
  }
}

function entryFaults (item: LocatedDeclaration, entry: Extract<Declaration, { kind: DeclarationKind.Entry }>, located: readonly LocatedDeclaration[]): DeclarationFault[] {
  const faults: DeclarationFault[] = []
  const pool = located.map((other) => other.declaration).find((other) => other.kind === DeclarationKind.Pool && other.name === entry.pool)
  if (pool?.kind === DeclarationKind.Pool && pool.type !== entry.type) {
    faults.push(faultAt(item, `entry ${entry.name}: type is ${entry.type}; expected ${pool.type}, the type of pool ${pool.name}`))
  }
  if (entry.type === EntryKind.Service && entry.stalenessBound !== undefined) {
    faults.push(faultAt(item, `entry ${entry.name}: stalenessBound is only for entries of type ${EntryKind.Model}`))
  }
  return faults
}
