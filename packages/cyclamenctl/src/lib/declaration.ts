import * as z from 'zod'
import { entrySchema, keySchema, poolSchema, workspaceSchema } from '@cyclamenthread/state'

/** Kinds of declarations. */
export enum DeclarationKind {
  Workspace = 'workspace',
  Key = 'key',
  Entry = 'entry',
  Pool = 'pool'
}

/** The schema of each kind of declaration. `kind` is the kind of declaration, so the catalogue's own `kind` field is called `type` here. */
export const declarationSchemas = {
  [DeclarationKind.Workspace]: workspaceSchema.extend({ kind: z.literal(DeclarationKind.Workspace).describe('What the document declares.') }),
  [DeclarationKind.Key]: keySchema.extend({ kind: z.literal(DeclarationKind.Key).describe('What the document declares.') }),
  [DeclarationKind.Entry]: entrySchema.omit({ kind: true }).extend({ kind: z.literal(DeclarationKind.Entry).describe('What the document declares.'), type: entrySchema.shape.kind }),
  [DeclarationKind.Pool]: poolSchema.omit({ kind: true }).extend({ kind: z.literal(DeclarationKind.Pool).describe('What the document declares.'), type: poolSchema.shape.kind })
} as const

/** Schema of a YAML document: its kind and the fields of that kind. */
export const declarationSchema = z.discriminatedUnion('kind', [
  declarationSchemas[DeclarationKind.Workspace],
  declarationSchemas[DeclarationKind.Key],
  declarationSchemas[DeclarationKind.Entry],
  declarationSchemas[DeclarationKind.Pool]
])

export type Declaration = z.infer<typeof declarationSchema>

/**
 * The name that identifies a declaration among those of its kind.
 *
 * @example
 * nameOf(declaration) // 'desk'
 */
export function nameOf (declaration: Declaration): string {
  return declaration.kind === DeclarationKind.Key ? declaration.id : declaration.name
}
