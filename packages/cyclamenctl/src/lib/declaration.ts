import { z } from 'zod'
import { entrySchema, keySchema, poolSchema, workspaceSchema } from '@cyclamenthread/state'

/** Kinds of documents in a folder of declarations. */
export enum DeclarationKind {
  Workspace = 'workspace',
  Key = 'key',
  Entry = 'entry',
  Pool = 'pool'
}

/** One YAML document: its kind, and the members of what it declares. */
export const declarationSchema = z.discriminatedUnion('kind', [
  workspaceSchema.extend({ kind: z.literal(DeclarationKind.Workspace) }),
  keySchema.extend({ kind: z.literal(DeclarationKind.Key) }),
  entrySchema.omit({ kind: true }).extend({ kind: z.literal(DeclarationKind.Entry), type: entrySchema.shape.kind }),
  poolSchema.omit({ kind: true }).extend({ kind: z.literal(DeclarationKind.Pool), type: poolSchema.shape.kind })
])

export type Declaration = z.infer<typeof declarationSchema>
