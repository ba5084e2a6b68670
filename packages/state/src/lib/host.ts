/** Whether a host may be given new work. */
export enum HostState {
  Alive = 'alive',
  Suspect = 'suspect',
  Leaving = 'leaving',
  Dead = 'dead'
}

/** One process of the service and where to reach it. */
export interface Host {
  readonly id: string
  readonly region: string
  readonly failureDomain: string
  /** IP number and port for other hosts, as `127.0.0.1:7000`. */
  readonly peerAddress: string
  /** Base URL for callers, as `http://127.0.0.1:8000`. */
  readonly callerUrl: string
  /** Whether the host keeps journals and decision records. */
  readonly hasDataFolder: boolean
}
