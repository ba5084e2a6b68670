import * as z from 'zod'
import { CatalogueProofKind, rosterSchema, weightReleasesSchema } from '@cyclamenthread/state'
import { catalogueHeadSchema, cataloguePartSchema } from './catalogue-store.js'
import { PeerMessageKind } from './message-kind.js'

/** Most parts that are asked for at once. */
export const MAX_PARTS_PER_FETCH = 64

/** How far a host is: each number only goes up. */
export const revisionsSchema = z.object({ catalogue: z.int(), roster: z.int(), releases: z.int() })

/** Asks a host how far it is, and what it knows of the store. */
export const readCatalogueStatusSchema = z.object({
  kind: z.literal(PeerMessageKind.ReadCatalogueStatus)
})

/** The answer to {@link readCatalogueStatusSchema}. */
export const catalogueStatusSchema = z.object({
  revisions: revisionsSchema,
  /** Absent when the host has no proof that it is current. */
  proof: z.object({ kind: z.enum(CatalogueProofKind), ageMs: z.number().nonnegative() }).optional()
})

/** Asks a host for the head of its catalogue, its roster and its releases. */
export const fetchCatalogueSchema = z.object({
  kind: z.literal(PeerMessageKind.FetchCatalogue)
})

/** The answer to {@link fetchCatalogueSchema}; without `found` when the host knows no catalogue. */
export const fetchCatalogueResponseSchema = z.object({
  found: z.object({ head: catalogueHeadSchema, roster: rosterSchema, releases: weightReleasesSchema }).optional()
})

/** Asks a host for parts of a catalogue by their content digests. */
export const fetchCataloguePartsSchema = z.object({
  kind: z.literal(PeerMessageKind.FetchCatalogueParts),
  digests: z.array(z.string()).max(MAX_PARTS_PER_FETCH)
})

/** The answer to {@link fetchCataloguePartsSchema}; parts the host does not hold are left out. */
export const fetchCataloguePartsResponseSchema = z.object({
  parts: z.array(z.object({ digest: z.string(), part: cataloguePartSchema }))
})

/** Tells a host that there is something new, so that it need not wait for its next check. */
export const announceCatalogueSchema = z.object({
  kind: z.literal(PeerMessageKind.AnnounceCatalogue),
  revisions: revisionsSchema
})

export type Revisions = z.infer<typeof revisionsSchema>
export type CatalogueStatus = z.infer<typeof catalogueStatusSchema>
