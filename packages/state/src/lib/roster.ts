import * as z from 'zod'
import { endpointSchema } from './catalogue.js'

/** What may be sent to an endpoint that was ordered from the platform. */
export enum EndpointState {
  /** Ordered, not yet able to serve. */
  Starting = 'starting',
  Running = 'running',
  /** Finishes what it has; gets nothing new. */
  Leaving = 'leaving',
  /** The platform takes it back; what runs there has to be moved or run again. */
  Reclaimed = 'reclaimed'
}

/** An endpoint that was ordered from the platform. */
export const rosteredEndpointSchema = z.object({
  endpoint: endpointSchema,
  pool: z.string(),
  state: z.enum(EndpointState)
})

/**
 * The endpoints that the capacity leader runs, besides those the catalogue
 * declares. One object of the store; spread like the catalogue.
 */
export const rosterSchema = z.object({
  /** Grows with each change. */
  sequence: z.int().nonnegative(),
  endpoints: z.array(rosteredEndpointSchema)
})

/**
 * The weight versions that trainers have released, by pool. One object of the
 * store; spread like the catalogue.
 */
export const weightReleasesSchema = z.object({
  /** Grows with each change. */
  sequence: z.int().nonnegative(),
  releases: z.array(z.object({ pool: z.string(), version: z.int().nonnegative() }))
})

export type RosteredEndpoint = z.infer<typeof rosteredEndpointSchema>
export type Roster = z.infer<typeof rosterSchema>
export type WeightReleases = z.infer<typeof weightReleasesSchema>

/** The roster before any endpoint was ordered. */
export const EMPTY_ROSTER: Roster = { sequence: 0, endpoints: [] }

/** The releases before any was made. */
export const NO_RELEASES: WeightReleases = { sequence: 0, releases: [] }
