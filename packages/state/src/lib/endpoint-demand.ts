import type { DeclaredService } from './declaration.js'

/**
 * Minimum number of endpoints for each model in each failure domain: while one
 * updates its weights, the other serves.
 */
const ENDPOINTS_PER_MODEL = 2

/** Minimum number of endpoints of a plain service in each failure domain. */
const ENDPOINTS_PER_PLAIN_SERVICE = 2

/** Peak load of a service. */
export interface PeakDemand {
  /** Samples in the largest recent step of each model; models without a recent step are missing. */
  readonly samples: ReadonlyMap<string, number>
  /** Number of requests that one endpoint runs concurrently. */
  readonly slots: number
  /** Number of endpoints that currently run in the failure domain. */
  readonly running: number
}

/**
 * Computes the number of endpoints of a service that should run in a failure
 * domain: enough for a step of every model to start at once, and at least two for
 * each model, within the declared bounds. Undefined if none may be ordered there.
 * While the step size of any model is unknown, the number is not reduced.
 *
 * @example
 * desiredEndpointCount(service, 'leith-walk', { samples: new Map(), slots: 8, running: 4 }) // 6
 */
export function desiredEndpointCount (service: DeclaredService, failureDomain: string, peak: PeakDemand): number | undefined {
  const { capacity, models } = service
  if (capacity === undefined || capacity.prices[failureDomain] === undefined) return undefined
  const domains = Object.keys(capacity.prices).length
  const samples = models.reduce((sum, model) => sum + (peak.samples.get(model) ?? 0), 0)
  const minimum = models.length === 0 ? ENDPOINTS_PER_PLAIN_SERVICE : models.length * ENDPOINTS_PER_MODEL
  const wanted = Math.max(minimum, Math.ceil(samples / Math.max(1, peak.slots) / domains), isDemandKnown(service, peak.samples) ? 0 : peak.running)
  return Math.min(capacity.maximum, Math.max(capacity.minimum, wanted))
}

/**
 * Whether each model of a service had a recent step, so that the demand of the service is known.
 *
 * @example
 * isDemandKnown(service, new Map([['critic', 64]])) // false if the service has another model
 */
export function isDemandKnown ({ models }: Pick<DeclaredService, 'models'>, samples: ReadonlyMap<string, number>): boolean {
  return models.every((model) => samples.has(model))
}
