import * as z from 'zod'
import { entrySchema, keySchema, poolSchema, workspaceSchema } from '@cyclamenthread/state'

/** Kinds of documents in a folder of declarations. */
export enum DeclarationKind {
  Workspace = 'workspace',
  Key = 'key',
  Entry = 'entry',
  Pool = 'pool'
}

/** The schema of each kind of document. `kind` names the document, so what the catalogue calls a kind is its `type`. */
export const declarationSchemas = {
  [DeclarationKind.Workspace]: workspaceSchema.extend({ kind: z.literal(DeclarationKind.Workspace).describe('What the document declares.') }),
  [DeclarationKind.Key]: keySchema.extend({ kind: z.literal(DeclarationKind.Key).describe('What the document declares.') }),
  [DeclarationKind.Entry]: entrySchema.omit({ kind: true }).extend({ kind: z.literal(DeclarationKind.Entry).describe('What the document declares.'), type: entrySchema.shape.kind }),
  [DeclarationKind.Pool]: poolSchema.omit({ kind: true }).extend({ kind: z.literal(DeclarationKind.Pool).describe('What the document declares.'), type: poolSchema.shape.kind })
} as const

/** One YAML document: its kind, and the members of what it declares. */
export const declarationSchema = z.discriminatedUnion('kind', [
  declarationSchemas[DeclarationKind.Workspace],
  declarationSchemas[DeclarationKind.Key],
  declarationSchemas[DeclarationKind.Entry],
  declarationSchemas[DeclarationKind.Pool]
])

export type Declaration = z.infer<typeof declarationSchema>

/**
 * The name under which a declaration is known among those of its kind.
 *
 * @example
 * nameOf(declaration) // 'desk'
 */
export function nameOf (declaration: Declaration): string {
  return declaration.kind === DeclarationKind.Key ? declaration.id : declaration.name
}
