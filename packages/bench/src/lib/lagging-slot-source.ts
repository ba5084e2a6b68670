import { deadlineAfter, monotonicNow } from '@cyclamenthread/transport'
import { EndpointClient } from '@cyclamenthread/protocol'
import type { Endpoint } from '@cyclamenthread/state'
import type { LoadReport } from '@cyclamenthread/protocol'
import type { Slot, SlotDemand, SlotResult, SlotSource } from '@cyclamenthread/coordination'

/** A load report with the monotonic time at which it was read. */
interface TimestampedReport {
  readonly takenAt: number
  readonly load: LoadReport
}

/** Delays load reports: returns the newest report that is at least `lagMs` old, or none while there is no such report. */
export class LaggingEndpointClient extends EndpointClient {
  readonly #lagMs: number
  readonly #reports = new Map<string, TimestampedReport[]>()

  constructor (lagMs: number) {
    super()
    this.#lagMs = lagMs
  }

  override async readLoad (endpoint: Endpoint, deadline: number): Promise<LoadReport | undefined> {
    const load = await super.readLoad(endpoint, deadline)
    if (load === undefined) return undefined
    const now = monotonicNow()
    const reports = [...this.#reports.get(endpoint.id) ?? [], { takenAt: now, load }]
    const visible = reports.filter((report) => report.takenAt <= now - this.#lagMs)
    this.#reports.set(endpoint.id, [...visible.slice(-1), ...reports.filter((report) => report.takenAt > now - this.#lagMs)])
    const newest = visible.at(-1)
    return newest === undefined ? undefined : { ...newest.load, ageMs: now - newest.takenAt }
  }
}

/**
 * Baseline for dispatch: each gateway keeps its own copy of the endpoint loads,
 * refreshes it periodically and sends each request to the least loaded endpoint
 * in that copy, without queueing.
 */
export class LaggingSlotSource implements SlotSource {
  readonly #endpoints: readonly Endpoint[]
  readonly #client: EndpointClient
  readonly #random: () => number
  readonly #countsOwnRequests: boolean
  readonly #loads = new Map<string, number>()
  readonly #timer: NodeJS.Timeout
  #lastSlotNumber = 0

  /** @param countsOwnRequests whether the copy also counts the requests that this gateway starts and finishes between refreshes */
  constructor (endpoints: readonly Endpoint[], client: EndpointClient, lagMs: number, random: () => number, countsOwnRequests: boolean) {
    this.#endpoints = endpoints
    this.#client = client
    this.#random = random
    this.#countsOwnRequests = countsOwnRequests
    this.#timer = setInterval(() => {
      void this.#synchroniseLoads(lagMs)
    }, lagMs)
  }

  stop (): void {
    clearInterval(this.#timer)
  }

  async acquire (demand: SlotDemand): Promise<SlotResult> {
    const usable = this.#endpoints.filter((endpoint) => !demand.excluded.includes(endpoint.id))
    const least = Math.min(...usable.map((endpoint) => this.#loadOf(endpoint)))
    const best = usable.filter((endpoint) => this.#loadOf(endpoint) === least)
    const endpoint = best[Math.floor(this.#random() * best.length)]
    if (endpoint === undefined) throw new Error('every endpoint is excluded for this request')
    this.#adjustLoad(endpoint, 1)
    this.#lastSlotNumber += 1
    return { granted: true, slot: { slotId: `${this.#lastSlotNumber}`, cell: '', endpoint } }
  }

  async release (slot: Slot): Promise<void> {
    this.#adjustLoad(slot.endpoint, -1)
  }

  #loadOf (endpoint: Endpoint): number {
    return this.#loads.get(endpoint.id) ?? 0
  }

  #adjustLoad (endpoint: Endpoint, change: number): void {
    if (this.#countsOwnRequests) this.#loads.set(endpoint.id, Math.max(0, this.#loadOf(endpoint) + change))
  }

  async #synchroniseLoads (lagMs: number): Promise<void> {
    await Promise.all(this.#endpoints.map(async (endpoint) => {
      const load = await this.#client.readLoad(endpoint, deadlineAfter(lagMs))
      if (load !== undefined) this.#loads.set(endpoint.id, load.running + load.waiting)
    }))
  }
}
