import { z } from 'zod'

/** Classes of work, from the most urgent to the least. */
export enum WorkClass {
  Booking = 'booking',
  Interactive = 'interactive',
  Training = 'training'
}

/** What an entry routes to. */
export enum EntryKind {
  Model = 'model',
  Service = 'service'
}

/** What a host that can't prove its catalogue current does with keyed requests. */
export enum IsolationPolicy {
  Refuse = 'refuse',
  Serve = 'serve'
}

/** How an endpoint treats the fencing number of an order. */
export enum FencingSupport {
  Checked = 'checked',
  Ignored = 'ignored'
}

const nameSchema = z.string().regex(/^[a-z0-9][a-z0-9.-]{0,62}$/, 'lower-case letters, digits, dots and dashes, at most 63')
const positive = z.number().positive()

/** Upper bounds that hold over all hosts together. An absent bound does not limit. */
export const limitsSchema = z.strictObject({
  requestsPerSecond: positive.optional(),
  tokensPerSecond: positive.optional(),
  concurrency: z.int().positive().optional()
})

/** A customer of the system; its weight is its share of a contended pool relative to the others. */
export const workspaceSchema = z.strictObject({
  name: nameSchema,
  owner: z.string().min(1),
  weight: positive.default(1),
  limits: limitsSchema.default({})
})

/** A caller's key. Only a salted hash is kept; `withdrawn` never goes back to false. */
export const keySchema = z.strictObject({
  id: nameSchema,
  workspace: nameSchema,
  salt: z.string().regex(/^[0-9a-f]{16,64}$/),
  hash: z.string().regex(/^[0-9a-f]{64}$/),
  entries: z.array(nameSchema).optional(),
  withdrawn: z.boolean().default(false)
})

/** One thing a caller can name: a model behind an engine pool or a plain service. */
export const entrySchema = z.strictObject({
  name: nameSchema,
  owner: z.string().min(1),
  kind: z.enum(EntryKind),
  class: z.enum(WorkClass),
  pool: nameSchema,
  limits: limitsSchema.default({}),
  open: z.boolean().default(false),
  /** Samples whose oldest weight version is further than this behind the newest are discarded. */
  stalenessBound: z.int().nonnegative().optional(),
  /** HTTP methods of a service that may be repeated without a second effect. */
  idempotentMethods: z.array(z.enum(['GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE', 'POST', 'PATCH'])).default(['GET', 'HEAD', 'OPTIONS']),
  whenIsolated: z.enum(IsolationPolicy).default(IsolationPolicy.Refuse),
  /** Longest a request may wait and run, in milliseconds. */
  timeoutMs: z.int().positive().default(60_000)
})

/** One back end, as declared or as the platform reports it. */
export const endpointSchema = z.strictObject({
  id: nameSchema,
  url: z.url({ protocol: /^https?$/ }),
  region: nameSchema,
  failureDomain: nameSchema,
  slots: z.int().positive(),
  cheap: z.boolean().default(false),
  fencing: z.enum(FencingSupport).default(FencingSupport.Checked)
})

/** How many endpoints the capacity leader may keep running in one failure domain. */
export const capacityRuleSchema = z.strictObject({
  failureDomain: nameSchema,
  region: nameSchema,
  cheap: z.boolean(),
  minimum: z.int().nonnegative(),
  maximum: z.int().nonnegative()
})

/** Interchangeable endpoints: fixed ones, and rules for those that are ordered from the platform. */
export const poolSchema = z.strictObject({
  name: nameSchema,
  kind: z.enum(EntryKind),
  endpoints: z.array(endpointSchema).default([]),
  capacity: z.array(capacityRuleSchema).default([])
})

/** The whole catalogue at one revision. */
export const catalogueSchema = z.strictObject({
  workspaces: z.array(workspaceSchema),
  keys: z.array(keySchema),
  entries: z.array(entrySchema),
  pools: z.array(poolSchema)
})

export type Limits = z.infer<typeof limitsSchema>
export type Workspace = z.infer<typeof workspaceSchema>
export type Key = z.infer<typeof keySchema>
export type Entry = z.infer<typeof entrySchema>
export type Endpoint = z.infer<typeof endpointSchema>
export type CapacityRule = z.infer<typeof capacityRuleSchema>
export type Pool = z.infer<typeof poolSchema>
export type Catalogue = z.infer<typeof catalogueSchema>
