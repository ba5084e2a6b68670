import type { DeclaredService } from './declaration.js'

/**
 * Endpoints of each model that are kept in each failure domain: while the
 * weights of one change, the other serves.
 */
const ENDPOINTS_PER_MODEL = 2

/** Endpoints of a plain service that are kept in each failure domain. */
const PLAIN_ENDPOINTS = 2

/** What the endpoints of a service have to take at the same time. */
export interface SampleWave {
  /** Samples of one step of each model, the largest that is remembered; models without a step are missing. */
  readonly samples: ReadonlyMap<string, number>
  /** Requests that one endpoint runs at once. */
  readonly slots: number
  /** Endpoints that run in the failure domain now. */
  readonly present: number
}

/**
 * The number of endpoints of a service that should run in a failure domain:
 * enough for a step of every model to start at once, and two a model while its
 * weights change, within the declared bounds. Undefined when none may be
 * ordered there. While the steps of a model are not known none is given up.
 *
 * @example
 * wantedEndpoints(service, 'leith-walk', { samples: new Map(), slots: 8, present: 4 }) // 6
 */
export function wantedEndpoints (service: DeclaredService, failureDomain: string, wave: SampleWave): number | undefined {
  const { capacity, models } = service
  if (capacity === undefined || capacity.prices[failureDomain] === undefined) return undefined
  const domains = Object.keys(capacity.prices).length
  const samples = models.reduce((sum, model) => sum + (wave.samples.get(model) ?? 0), 0)
  const isKnown = models.every((model) => wave.samples.has(model))
  const least = models.length === 0 ? PLAIN_ENDPOINTS : models.length * ENDPOINTS_PER_MODEL
  const wanted = Math.max(least, Math.ceil(samples / Math.max(1, wave.slots) / domains), isKnown ? 0 : wave.present)
  return Math.min(capacity.maximum, Math.max(capacity.minimum, wanted))
}
