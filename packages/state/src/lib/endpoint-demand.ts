import type { DeclaredService } from './declaration.js'

/**
 * Endpoints of each model that are kept in each failure domain: while the
 * weights of one change, the other serves.
 */
const ENDPOINTS_PER_MODEL = 2

/** Endpoints of a plain service that are kept in each failure domain. */
const ENDPOINTS_PER_PLAIN_SERVICE = 2

/** What the endpoints of a service have to take at the same time. */
export interface PeakDemand {
  /** Samples of one step of each model, the largest that is remembered; models without a step are missing. */
  readonly samples: ReadonlyMap<string, number>
  /** Requests that one endpoint runs at once. */
  readonly slots: number
  /** Endpoints that run in the failure domain now. */
  readonly running: number
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
export function desiredEndpointCount (service: DeclaredService, failureDomain: string, peak: PeakDemand): number | undefined {
  const { capacity, models } = service
  if (capacity === undefined || capacity.prices[failureDomain] === undefined) return undefined
  const domains = Object.keys(capacity.prices).length
  const samples = models.reduce((sum, model) => sum + (peak.samples.get(model) ?? 0), 0)
  const isKnown = models.every((model) => peak.samples.has(model))
  const minimum = models.length === 0 ? ENDPOINTS_PER_PLAIN_SERVICE : models.length * ENDPOINTS_PER_MODEL
  const wanted = Math.max(minimum, Math.ceil(samples / Math.max(1, peak.slots) / domains), isKnown ? 0 : peak.running)
  return Math.min(capacity.maximum, Math.max(capacity.minimum, wanted))
}
