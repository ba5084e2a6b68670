import * as z from 'zod'
import { endpointSchema } from './catalogue.js'

/** State of an endpoint that was ordered from the platform. */
export enum EndpointState {
  /** Ordered, not yet able to serve. */
  Starting = 'starting',
  Running = 'running',
  /** Draining: finishes its current work and gets none that is new. */
  Leaving = 'leaving',
  /** Reclaimed by the platform; its running work has to be moved or run again. */
  Reclaimed = 'reclaimed'
}

/** An endpoint that was ordered from the platform. */
export const rosteredEndpointSchema = z.object({
  endpoint: endpointSchema,
  pool: z.string(),
  state: z.enum(EndpointState)
})

/**
 * The endpoints that the capacity leader has ordered, in addition to those declared
 * in the catalogue. Stored as one object and distributed like the catalogue.
 */
export const rosterSchema = z.object({
  /** Grows with each change. */
  sequence: z.int().nonnegative(),
  endpoints: z.array(rosteredEndpointSchema)
})

/**
 * The weight versions that trainers have released, by pool. Stored as one object
 * and distributed like the catalogue.
 */
export const weightReleasesSchema = z.object({
  /** Grows with each change. */
  sequence: z.int().nonnegative(),
  releases: z.array(z.object({ pool: z.string(), version: z.int().nonnegative() }))
})

export type RosteredEndpoint = z.infer<typeof rosteredEndpointSchema>
export type Roster = z.infer<typeof rosterSchema>
export type WeightReleases = z.infer<typeof weightReleasesSchema>

/** The initial roster, without endpoints. */
export const EMPTY_ROSTER: Roster = { sequence: 0, endpoints: [] }

/** The initial state, without releases. */
export const NO_RELEASES: WeightReleases = { sequence: 0, releases: [] }
