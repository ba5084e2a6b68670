import * as z from 'zod'
import { CatalogueProofKind, rosterSchema, weightReleasesSchema } from '@cyclamenthread/state'
import { catalogueHeadSchema, cataloguePartSchema } from './catalogue-store.js'
import { PeerMessageKind } from './message-kind.js'

/** Maximum number of parts requested in one message. */
export const MAX_PARTS_PER_FETCH = 64

/** The newest revisions that a host holds; each number only increases. */
export const revisionsSchema = z.object({ catalogue: z.int(), roster: z.int(), releases: z.int() })

/** Asks a host which revisions it holds and how recently it confirmed them with the store. */
export const readCatalogueStatusSchema = z.object({
  kind: z.literal(PeerMessageKind.ReadCatalogueStatus)
})

/** The response to {@link readCatalogueStatusSchema}. */
export const catalogueStatusSchema = z.object({
  revisions: revisionsSchema,
  /** Evidence that the host's catalogue is current; absent when it has none. */
  proof: z.object({ kind: z.enum(CatalogueProofKind), ageMs: z.number().nonnegative() }).optional()
})

/** Asks a host for its catalogue head, its endpoint roster and its weight releases. */
export const fetchCatalogueSchema = z.object({
  kind: z.literal(PeerMessageKind.FetchCatalogue)
})

/** The response to {@link fetchCatalogueSchema}; `found` is absent when the host has no catalogue. */
export const fetchCatalogueResponseSchema = z.object({
  found: z.object({ head: catalogueHeadSchema, roster: rosterSchema, releases: weightReleasesSchema }).optional()
})

/** Asks a host for catalogue parts by their content digests. */
export const fetchCataloguePartsSchema = z.object({
  kind: z.literal(PeerMessageKind.FetchCatalogueParts),
  digests: z.array(z.string()).max(MAX_PARTS_PER_FETCH)
})

/** The response to {@link fetchCataloguePartsSchema}; parts that the host doesn't hold are omitted. */
export const fetchCataloguePartsResponseSchema = z.object({
  parts: z.array(z.object({ digest: z.string(), part: cataloguePartSchema }))
})

/** Announces new revisions to a host, so that it fetches them without waiting for its next periodic check. */
export const announceCatalogueSchema = z.object({
  kind: z.literal(PeerMessageKind.AnnounceCatalogue),
  revisions: revisionsSchema
})

export type Revisions = z.infer<typeof revisionsSchema>
export type CatalogueStatus = z.infer<typeof catalogueStatusSchema>
