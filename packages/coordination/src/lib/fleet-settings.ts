/** Settings for ordering endpoints and rolling out weights. All times are in milliseconds. */
export interface FleetSettings {
  /** Base URL of the weight store; if undefined, weights are never changed. */
  readonly weightStoreUrl?: string | undefined
  /** Sets of weights that the weight store can deliver per second, over all endpoints. */
  readonly weightFetchesPerSecond: number
  /** Share of a pool's endpoints in a failure domain that must keep serving while weights change. */
  readonly weightServingShare: number
  /** Time after which a weight change that has not become visible counts as failed. */
  readonly weightSwapTimeoutMs: number
  /** Time from the order of an endpoint until it serves. */
  readonly endpointStartMs: number
  /** Time for which there must be surplus endpoints before one is stopped. */
  readonly endpointHoldMs: number
  /** Delay after the platform had no endpoint available in a failure domain; doubles with each refusal. */
  readonly endpointBackOffMs: number
  /** Assumed number of slots of an endpoint that has not been ordered yet. */
  readonly endpointSlots: number
}
