import * as z from 'zod'

/** Priority classes of work, from the most urgent to the least. */
export enum WorkClass {
  Booking = 'booking',
  Interactive = 'interactive',
  Training = 'training'
}

/** Kind of target to which an entry routes. */
export enum EntryKind {
  Model = 'model',
  Service = 'service'
}

/** What a host that can't prove that its catalogue is current does with requests that carry a key. */
export enum IsolationPolicy {
  Refuse = 'refuse',
  Serve = 'serve'
}

/** Whether an endpoint checks the fencing token of an order. */
export enum FencingSupport {
  Checked = 'checked',
  Ignored = 'ignored'
}

const nameSchema = z.string().regex(/^[a-z0-9][a-z0-9.-]{0,62}$/, 'lower-case letters, digits, dots and dashes, at most 63')
const positive = z.number().positive()

/** Upper bounds for all hosts together. An absent bound means unlimited. */
export const limitsSchema = z.strictObject({
  requestsPerSecond: positive.optional().describe('Requests per second.'),
  tokensPerSecond: positive.optional().describe('Tokens per second, prompt and answer.'),
  concurrency: z.int().positive().optional().describe('Concurrent requests.')
})

/** A tenant; its weight is its share of a contended pool relative to other workspaces. */
export const workspaceSchema = z.strictObject({
  name: nameSchema.describe('Name, unique among workspaces.'),
  owner: z.string().min(1).describe('Who is responsible for it.'),
  weight: positive.default(1).describe('Share of contended endpoints, relative to the other workspaces.'),
  limits: limitsSchema.default({}).describe('Limits for all hosts together; an absent one means unlimited.')
})

/** A caller's API key. Only a salted hash is stored; `withdrawn` never returns to false. */
export const keySchema = z.strictObject({
  id: nameSchema.describe('Id, the part of the token before the underscore; never reused.'),
  workspace: nameSchema.describe('Workspace to which the key belongs.'),
  salt: z.string().regex(/^[0-9a-f]{16,64}$/, '16 to 64 hexadecimal digits').describe('Salt of the hash.'),
  hash: z.string().regex(/^[0-9a-f]{64}$/, '64 hexadecimal digits').describe('Salted hash of the token.'),
  entries: z.array(nameSchema).optional().describe('Entries that the key may use; all if absent.'),
  withdrawn: z.boolean().default(false).describe('Whether the key was permanently withdrawn.')
})

/** A name that callers can address: a model behind a pool of engines, or a plain service. */
export const entrySchema = z.strictObject({
  name: nameSchema.describe('Name that callers use.'),
  owner: z.string().min(1).describe('Who is responsible for it.'),
  kind: z.enum(EntryKind).describe('Whether it is a model or a plain service.'),
  class: z.enum(WorkClass).describe('Priority class; bookings go before interactive work, interactive work before training.'),
  pool: nameSchema.describe('Pool whose endpoints serve it.'),
  limits: limitsSchema.default({}).describe('Limits for all hosts and workspaces together.'),
  open: z.boolean().default(false).describe('Whether callers without a key may use it.'),
  stalenessBound: z.int().nonnegative().optional().describe('Maximum number of versions by which the oldest weight version in a sample may lag behind the newest; older samples are discarded. Only for models.'),
  idempotentMethods: z.array(z.enum(['GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE', 'POST', 'PATCH'])).default(['GET', 'HEAD', 'OPTIONS']).describe('HTTP methods of a service that may be repeated without additional effect; all others require an Idempotency-Key.'),
  whenIsolated: z.enum(IsolationPolicy).default(IsolationPolicy.Refuse).describe('What a host does with requests that carry a key while it can\'t prove that its catalogue is current.'),
  timeoutMs: z.int().positive().default(60_000).describe('Maximum time for which a request may wait and run, in milliseconds.')
})

/** A back end, declared in the catalogue or reported by the platform. */
export const endpointSchema = z.strictObject({
  id: nameSchema.describe('Id, unique among the endpoints of all pools.'),
  url: z.url({ protocol: /^https?$/ }).describe('Base URL.'),
  region: nameSchema.describe('Region it runs in.'),
  failureDomain: nameSchema.describe('Failure domain it runs in.'),
  slots: z.int().positive().describe('Maximum number of concurrent requests.'),
  cheap: z.boolean().default(false).describe('Whether the platform may reclaim it at short notice.'),
  fencing: z.enum(FencingSupport).default(FencingSupport.Checked).describe('Whether it refuses orders with an outdated fencing token.')
})

/** How many endpoints the capacity leader may keep running in one failure domain. */
export const capacityRuleSchema = z.strictObject({
  failureDomain: nameSchema.describe('Failure domain in which endpoints may be ordered.'),
  region: nameSchema.describe('Region of the failure domain.'),
  cheap: z.boolean().describe('Whether cheap endpoints are ordered, which the platform may reclaim at short notice.'),
  minimum: z.int().nonnegative().describe('Minimum number of running endpoints.'),
  maximum: z.int().nonnegative().describe('Maximum number of running endpoints.')
})

/** A group of interchangeable endpoints: fixed ones, and rules for those ordered from the platform. */
export const poolSchema = z.strictObject({
  name: nameSchema.describe('Name, unique among pools.'),
  kind: z.enum(EntryKind).describe('Whether its endpoints are models or plain services.'),
  endpoints: z.array(endpointSchema).default([]).describe('Endpoints that always run.'),
  capacity: z.array(capacityRuleSchema).default([]).describe('Rules for endpoints that are ordered from the platform on demand.')
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
