import { deadlineAfter, monotonicNow } from '@cyclamenthread/transport'
import { EndpointClient } from '@cyclamenthread/protocol'
import type { Endpoint } from '@cyclamenthread/state'
import type { LoadReport } from '@cyclamenthread/protocol'
import type { Slot, SlotDemand, SlotResult, SlotSource } from '@cyclamenthread/coordination'

/** A load report as it was when it was taken. */
interface KeptReport {
  readonly at: number
  readonly load: LoadReport
}

/** Reads load reports that lag: each answer is the newest that is at least the lag old. */
export class LaggingEndpointClient extends EndpointClient {
  readonly #lagMs: number
  readonly #reports = new Map<string, KeptReport[]>()

  constructor (lagMs: number) {
    super()
    this.#lagMs = lagMs
  }

  override async readLoad (endpoint: Endpoint, deadline: number): Promise<LoadReport | undefined> {
    const load = await super.readLoad(endpoint, deadline)
    if (load === undefined) return undefined
    const now = monotonicNow()
    const reports = [...this.#reports.get(endpoint.id) ?? [], { at: now, load }]
    const old = reports.filter((report) => report.at <= now - this.#lagMs)
    this.#reports.set(endpoint.id, [...old.slice(-1), ...reports.filter((report) => report.at > now - this.#lagMs)])
    const newest = old.at(-1)
    return newest === undefined ? undefined : { ...newest.load, ageMs: now - newest.at }
  }
}

/**
 * Baseline: a gateway routes on its own copy of the endpoints' loads, which is
 * synchronised once in a while, and sends at once to the least loaded of its copy.
 */
export class LaggingCopySource implements SlotSource {
  readonly #endpoints: readonly Endpoint[]
  readonly #client: EndpointClient
  readonly #random: () => number
  readonly #countsOwn: boolean
  readonly #loads = new Map<string, number>()
  readonly #timer: NodeJS.Timeout
  #sequence = 0

  /** @param countsOwn whether the copy counts what this gateway sends and gets back between synchronisations */
  constructor (endpoints: readonly Endpoint[], client: EndpointClient, lagMs: number, random: () => number, countsOwn: boolean) {
    this.#endpoints = endpoints
    this.#client = client
    this.#random = random
    this.#countsOwn = countsOwn
    this.#timer = setInterval(() => {
      void this.#synchronise(lagMs)
    }, lagMs)
  }

  stop (): void {
    clearInterval(this.#timer)
  }

  async acquire (demand: SlotDemand): Promise<SlotResult> {
    const usable = this.#endpoints.filter((endpoint) => !demand.excluded.includes(endpoint.id))
    const least = Math.min(...usable.map((endpoint) => this.#load(endpoint)))
    const best = usable.filter((endpoint) => this.#load(endpoint) === least)
    const endpoint = best[Math.floor(this.#random() * best.length)]
    if (endpoint === undefined) throw new Error('the baseline needs an endpoint')
    this.#count(endpoint, 1)
    this.#sequence += 1
    return { granted: true, slot: { slotId: `${this.#sequence}`, cell: '', endpoint } }
  }

  async release (slot: Slot): Promise<void> {
    this.#count(slot.endpoint, -1)
  }

  #load (endpoint: Endpoint): number {
    return this.#loads.get(endpoint.id) ?? 0
  }

  #count (endpoint: Endpoint, change: number): void {
    if (this.#countsOwn) this.#loads.set(endpoint.id, Math.max(0, this.#load(endpoint) + change))
  }

  async #synchronise (lagMs: number): Promise<void> {
    await Promise.all(this.#endpoints.map(async (endpoint) => {
      const load = await this.#client.readLoad(endpoint, deadlineAfter(lagMs))
      if (load !== undefined) this.#loads.set(endpoint.id, load.running + load.waiting)
    }))
  }
}
