/** An endpoint that can load any model of its service. */
export interface AssignableEndpoint {
  readonly id: string
  readonly failureDomain: string
}

/**
 * Computes how many endpoints each model should have: in proportion to the work of
 * its steps, evenly if none is known, and at least one each if there are enough
 * endpoints.
 *
 * @param work expected tokens of one step, by model; missing models count as average
 * @example
 * computeModelQuotas(['a', 'b'], 8, new Map([['a', 3_000], ['b', 1_000]])) // a: 6, b: 2
 */
export function computeModelQuotas (models: readonly string[], endpoints: number, work: ReadonlyMap<string, number>): Map<string, number> {
  const known = models.flatMap((model) => work.get(model) ?? [])
  const typical = known.length === 0 ? 1 : known.reduce((sum, value) => sum + value, 0) / known.length
  const weights = models.map((model) => ({ model, weight: Math.max(work.get(model) ?? typical, Number.EPSILON) }))
  const total = weights.reduce((sum, { weight }) => sum + weight, 0)
  const guaranteed = endpoints >= models.length ? 1 : 0
  const spare = endpoints - guaranteed * models.length
  const shares = weights.map(({ model, weight }) => ({ model, share: spare * weight / total }))
  const quotas = new Map(shares.map(({ model, share }) => [model, guaranteed + Math.floor(share)]))
  const given = [...quotas.values()].reduce((sum, quota) => sum + quota, 0)
  const byRemainder = [...shares].sort((a, b) => (b.share % 1) - (a.share % 1))
  for (const { model } of byRemainder.slice(0, endpoints - given)) quotas.set(model, (quotas.get(model) ?? 0) + 1)
  return quotas
}

/**
 * Assigns the endpoints of a service to its models by quota, spread over the
 * failure domains. Keeps previous assignments where possible, since a model's
 * weights are only kept current on the endpoints assigned to it.
 *
 * @param previous model by endpoint id of the previous assignment
 * @param work expected tokens of one step, by model
 * @returns model by endpoint id
 * @example
 * assignModels(['a', 'b'], endpoints, new Map())
 */
export function assignModels (
  models: readonly string[], endpoints: readonly AssignableEndpoint[], previous: ReadonlyMap<string, string>, work: ReadonlyMap<string, number> = new Map()
): Map<string, string> {
  const assigned = new Map<string, string>()
  const totals = new Map(models.map((model) => [model, 0]))
  const domains = new Map<string, number>()
  if (models.length === 0) return assigned
  const quotas = computeModelQuotas(models, endpoints.length, work)
  const remainingQuota = (model: string): number => (quotas.get(model) ?? 0) - (totals.get(model) ?? 0)
  const countInDomain = (model: string, endpoint: AssignableEndpoint): number => domains.get(`${model}\u0000${endpoint.failureDomain}`) ?? 0
  const assign = (endpoint: AssignableEndpoint, model: string): void => {
    assigned.set(endpoint.id, model)
    totals.set(model, (totals.get(model) ?? 0) + 1)
    domains.set(`${model}\u0000${endpoint.failureDomain}`, countInDomain(model, endpoint) + 1)
  }
  for (const holder of endpoints) {
    const model = previous.get(holder.id)
    if (model !== undefined && totals.has(model) && remainingQuota(model) > 0) assign(holder, model)
  }
  const unassigned = endpoints.filter((holder) => !assigned.has(holder.id))
  // By failure domain, so that filling the quotas spreads the models within each domain.
  for (const holder of unassigned.sort((a, b) => a.failureDomain.localeCompare(b.failureDomain))) {
    const [model] = models.filter((candidate) => remainingQuota(candidate) > 0)
      .sort((a, b) => countInDomain(a, holder) - countInDomain(b, holder) || remainingQuota(b) - remainingQuota(a))
    if (model !== undefined) assign(holder, model)
  }
  return assigned
}
