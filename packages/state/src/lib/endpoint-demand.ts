import type { DeclaredService } from './declaration.js'

/**
 * Endpoints of each model that are kept in each failure domain: while the
 * weights of one change, the other serves.
 */
const ENDPOINTS_PER_MODEL = 2

/** Endpoints of a plain service that are kept in each failure domain. */
const PLAIN_ENDPOINTS = 2

/**
 * The number of endpoints of a service that should run in a failure domain:
 * enough for a step of every model to start at once while half of the endpoints
 * change their weights, within the declared bounds. Undefined when none may be
 * ordered there.
 *
 * @example
 * wantedEndpoints(service, 'leith-walk') // 6
 */
export function wantedEndpoints (service: DeclaredService, failureDomain: string): number | undefined {
  const { capacity, models } = service
  if (capacity === undefined || capacity.prices[failureDomain] === undefined) return undefined
  const wanted = models.length === 0 ? PLAIN_ENDPOINTS : models.length * ENDPOINTS_PER_MODEL
  return Math.min(capacity.maximum, Math.max(capacity.minimum, wanted))
}
