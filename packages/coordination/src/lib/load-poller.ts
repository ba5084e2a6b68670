import { deadlineAfter, monotonicNow } from '@cyclamenthread/transport'
import { Periodic } from './periodic.js'
import type { Endpoint } from '@cyclamenthread/state'
import type { EndpointClient } from '@cyclamenthread/protocol'

/** Pause between two polling rounds, in milliseconds. */
const LOAD_PERIOD_MS = 1_000

/** Longest wait for one report, in milliseconds. */
const REPORT_TIMEOUT_MS = 1_000

/** A load report with the earliest time at which the endpoint may have measured it. */
export interface TimedLoad {
  readonly endpointId: string
  readonly running: number
  /** Monotonic time in milliseconds. */
  readonly observedAt: number
}

/** Periodically reads the load reports of the endpoints of this host's cells. */
export class LoadPoller {
  readonly #client: EndpointClient
  readonly #endpoints: () => readonly Endpoint[]
  readonly #listener: (load: TimedLoad) => void
  readonly #loop = new Periodic(LOAD_PERIOD_MS, async () => await this.#pollAll())

  /**
   * @param endpoints returns the endpoints to poll
   * @param listener called with each report
   */
  constructor (client: EndpointClient, endpoints: () => readonly Endpoint[], listener: (load: TimedLoad) => void) {
    this.#client = client
    this.#endpoints = endpoints
    this.#listener = listener
  }

  async start (): Promise<void> {
    await this.#loop.start()
  }

  async stop (): Promise<void> {
    await this.#loop.stop()
  }

  async #pollAll (): Promise<void> {
    await Promise.all(this.#endpoints().map(async (endpoint) => {
      const askedAt = monotonicNow()
      const load = await this.#client.readLoad(endpoint, deadlineAfter(REPORT_TIMEOUT_MS))
      if (load === undefined) return
      this.#listener({ endpointId: endpoint.id, running: load.running + load.waiting, observedAt: askedAt - load.ageMs })
    }))
  }
}
