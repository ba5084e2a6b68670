/** Membership state of a host. */
export enum HostState {
  Alive = 'alive',
  Suspect = 'suspect',
  Leaving = 'leaving',
  Dead = 'dead'
}

/** A process of the service, with its addresses. */
export interface Host {
  readonly id: string
  readonly region: string
  readonly failureDomain: string
  /** IP address and port for other hosts, such as `127.0.0.1:7000`. */
  readonly peerAddress: string
  /** Base URL for callers, such as `http://127.0.0.1:8000`. */
  readonly callerUrl: string
  /** Whether the host stores journals and decision records. */
  readonly hasDataFolder: boolean
  /** Processor cores that the host may use; undefined if it isn't known, which counts as one. */
  readonly processorCores?: number | undefined
}
