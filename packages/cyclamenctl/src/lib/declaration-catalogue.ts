import { stringify } from 'yaml'
import { unreachable } from '@cyclamenthread/state'
import { DeclarationKind } from './declaration.js'
import type { Catalogue } from '@cyclamenthread/state'
import type { Declaration } from './declaration.js'

function compareNames (a: { readonly name: string }, b: { readonly name: string }): number {
  return a.name < b.name ? -1 : 1
}

/**
 * The catalogue that declarations make, sorted by name so that the order of
 * files does not change it.
 *
 * @example
 * toCatalogue(declarations).workspaces.length
 */
export function toCatalogue (declarations: readonly Declaration[]): Catalogue {
  const catalogue: Catalogue = { workspaces: [], keys: [], entries: [], pools: [] }
  for (const declaration of declarations) addDeclaration(catalogue, declaration)
  catalogue.workspaces.sort(compareNames)
  catalogue.keys.sort((a, b) => a.id < b.id ? -1 : 1)
  catalogue.entries.sort(compareNames)
  catalogue.pools.sort(compareNames)
  return catalogue
}

function addDeclaration (catalogue: Catalogue, declaration: Declaration): void {
  switch (declaration.kind) {
    case DeclarationKind.Workspace: {
      const { kind, ...workspace } = declaration
      catalogue.workspaces.push(workspace)
      return
    }
    case DeclarationKind.Key: {
      const { kind, ...key } = declaration
      catalogue.keys.push(key)
      return
    }
    case DeclarationKind.Entry: {
      const { kind, type, ...entry } = declaration
      catalogue.entries.push({ ...entry, kind: type })
      return
    }
    case DeclarationKind.Pool: {
      const { kind, type, ...pool } = declaration
      catalogue.pools.push({ ...pool, kind: type })
      return
    }
    default: unreachable(declaration)
  }
}

/**
 * The declarations that make a catalogue; the inverse of {@link toCatalogue}.
 *
 * @example
 * toDeclarations(catalogue).map((declaration) => declaration.kind)
 */
export function toDeclarations (catalogue: Catalogue): Declaration[] {
  return [
    ...catalogue.workspaces.map((workspace): Declaration => ({ kind: DeclarationKind.Workspace, ...workspace })),
    ...catalogue.keys.map((key): Declaration => ({ kind: DeclarationKind.Key, ...key })),
    ...catalogue.pools.map(({ kind, ...pool }): Declaration => ({ kind: DeclarationKind.Pool, type: kind, ...pool })),
    ...catalogue.entries.map(({ kind, ...entry }): Declaration => ({ kind: DeclarationKind.Entry, type: kind, ...entry }))
  ]
}

/**
 * Declarations as YAML text, a document each.
 *
 * @example
 * declarationText([{ kind: DeclarationKind.Workspace, name: 'desk', owner: 'booking desk', weight: 1, limits: {} }])
 */
export function formatDeclarations (declarations: readonly Declaration[]): string {
  return declarations.map((declaration) => stringify(declaration, { aliasDuplicateObjects: false })).join('---\n')
}
