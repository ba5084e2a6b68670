/** What the leaders of endpoints need to know. All times are in milliseconds. */
export interface FleetSettings {
  /** Base URL of the weight store; without it no weights are changed. */
  readonly weightStoreUrl?: string | undefined
  /** Sets of weights that the weight store gives out in a second, over all endpoints. */
  readonly weightFetchesPerSecond: number
  /** Share of a pool's endpoints in a failure domain that serve while weights change. */
  readonly weightServingShare: number
  /** Time after which a change of weights that does not show has failed. */
  readonly weightSwapTimeoutMs: number
  /** Time an endpoint takes from its order until it serves. */
  readonly endpointStartMs: number
  /** Time for which too many endpoints must run before one is stopped. */
  readonly endpointHoldMs: number
  /** Pause after none were to be had in a failure domain; doubles each time. */
  readonly endpointBackOffMs: number
  /** Slots of an endpoint that is yet to be ordered. */
  readonly endpointSlots: number
}
