/** An endpoint that may hold any model of its service. */
export interface ModelHolder {
  readonly id: string
  readonly failureDomain: string
}

/**
 * Shares the endpoints of a service among its models, evenly within each
 * failure domain and over all, and keeps earlier shares where it can, since a
 * model's weights are only kept current on its own endpoints.
 *
 * @param previous model by endpoint id of the last assignment
 * @returns model by endpoint id
 * @example
 * assignModels(['a', 'b'], holders, new Map())
 */
export function assignModels (models: readonly string[], holders: readonly ModelHolder[], previous: ReadonlyMap<string, string>): Map<string, string> {
  const assigned = new Map<string, string>()
  const totals = new Map(models.map((model) => [model, 0]))
  const domains = new Map<string, number>()
  if (models.length === 0) return assigned
  const most = Math.ceil(holders.length / models.length)
  const give = (holder: ModelHolder, model: string): void => {
    assigned.set(holder.id, model)
    totals.set(model, (totals.get(model) ?? 0) + 1)
    const place = `${model}\u0000${holder.failureDomain}`
    domains.set(place, (domains.get(place) ?? 0) + 1)
  }
  for (const holder of holders) {
    const model = previous.get(holder.id)
    if (model !== undefined && totals.has(model) && (totals.get(model) ?? 0) < most) give(holder, model)
  }
  const unassigned = holders.filter((holder) => !assigned.has(holder.id))
  // One failure domain after the other, so that filling up the totals spreads the models within each.
  for (const holder of unassigned.sort((a, b) => a.failureDomain.localeCompare(b.failureDomain))) {
    const [model] = [...models].sort((a, b) =>
      (totals.get(a) ?? 0) - (totals.get(b) ?? 0) ||
      (domains.get(`${a}\u0000${holder.failureDomain}`) ?? 0) - (domains.get(`${b}\u0000${holder.failureDomain}`) ?? 0))
    if (model !== undefined) give(holder, model)
  }
  return assigned
}
