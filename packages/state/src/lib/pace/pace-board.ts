import { EndpointPace, OVERDUE_RATIO } from './endpoint-pace.js'
import type { EndpointEntry } from '../endpoint-table.js'
import type { OverdueUnit } from './endpoint-pace.js'

/** Number of unit times from which the usual one of a service is computed. */
const SAMPLE_SIZE = 256

/** Number of unit times of a service from which its own usual time counts. */
const MIN_SAMPLE_SIZE = 8

/** Time for which a usual time and a mean factor are reused, in milliseconds. */
const SUMMARY_TTL_MS = 200

/** Share of the unit times that are shorter than the usual one: most machines run at their usual pace most of the time. */
const USUAL_QUANTILE = 0.4

/** Factor that an endpoint states for its usual pace. */
const USUAL_PERCENT = 100

type EndpointKey = Pick<EndpointEntry, 'id' | 'bornAt'>

/** What is known of a service's units of work. */
interface ServiceUnits {
  readonly unitsMs: number[]
  next: number
  usualMs: number | undefined
  mean: number
  slowFactor: number
  computedAt: number
}

/** What is known of one incarnation of an endpoint. */
interface PacedEndpoint {
  readonly bornAt: number
  readonly pace: EndpointPace
  /** When the present unit of each running stream began, in monotonic milliseconds. */
  readonly openUnits: Map<string, number>
}

/**
 * The pace of all endpoints as this process knows it: what endpoints state with their answers, and
 * the units of work that ended here. Only services whose endpoints state their pace are estimated.
 *
 * @example
 * const paces = new PaceBoard()
 * paces.recordStatement(entry, 250, now)
 * paces.expectedMs(entry, 20, 48, now)
 */
export class PaceBoard {
  readonly #endpoints = new Map<string, PacedEndpoint>()
  readonly #services = new Map<string, ServiceUnits>()
  readonly #statingServices = new Set<string>()

  /** Whether endpoints of a service state their pace. */
  isStated (service: string): boolean {
    return this.#statingServices.has(service)
  }

  /** Drops the endpoints that aren't listed any more. */
  retain (ids: ReadonlySet<string>): void {
    for (const id of this.#endpoints.keys()) {
      if (!ids.has(id)) this.#endpoints.delete(id)
    }
  }

  /**
   * Records how long an endpoint says that work takes there.
   *
   * @param percent relative to its usual time, in percent
   */
  recordStatement (entry: EndpointEntry, percent: number, now: number): void {
    if (!(percent > 0) || !Number.isFinite(percent)) return
    this.#statingServices.add(entry.service)
    this.#of(entry).pace.observe(percent / USUAL_PERCENT, 0, now)
  }

  /** Records that a unit of a stream begins: its first event has come. */
  openUnit (entry: EndpointEntry, stream: string, now: number): void {
    if (this.isStated(entry.service)) this.#of(entry).openUnits.set(stream, now)
  }

  /** Records that a unit of a stream has ended and the next one begins. */
  recordUnit (entry: EndpointEntry, stream: string, now: number): void {
    if (!this.isStated(entry.service)) return
    const { openUnits, pace } = this.#of(entry)
    const since = openUnits.get(stream)
    openUnits.set(stream, now)
    if (since === undefined) return
    const unitMs = now - since
    this.#addUnit(entry.service, unitMs)
    const usualMs = this.#usualMs(entry.service, now)
    if (usualMs !== undefined) pace.observe(unitMs / usualMs, unitMs, now)
  }

  /** Records that a stream has ended. */
  closeStream (entry: EndpointEntry, stream: string): void {
    this.#endpoints.get(entry.id)?.openUnits.delete(stream)
  }

  /** Usual time of a unit of a service, in milliseconds. */
  usualMs (service: string, fallbackMs: number, now: number): number {
    return this.#usualMs(service, now) ?? fallbackMs
  }

  /** Age of what is known of an endpoint's pace, in milliseconds; Infinity if nothing is. */
  ageMs (entry: EndpointEntry, now: number): number {
    return now - (this.#find(entry)?.pace.observedAt ?? -Infinity)
  }

  /**
   * Expected time until an endpoint has done a number of units from now on, in milliseconds.
   *
   * @param fallbackMs usual time of a unit if none was measured, in milliseconds
   */
  expectedMs (entry: EndpointEntry, units: number, fallbackMs: number, now: number): number {
    const usualMs = this.usualMs(entry.service, fallbackMs, now)
    const { mean, slowFactor } = this.#services.get(entry.service) ?? { mean: 1, slowFactor: OVERDUE_RATIO }
    const known = this.#find(entry)
    if (known === undefined) return units * usualMs * mean
    return known.pace.expectedMs(units * usualMs, now, mean, longestOpenUnit(known, { usualMs, slowFactor }, now))
  }

  #of (entry: EndpointKey): PacedEndpoint {
    const known = this.#find(entry)
    if (known !== undefined) return known
    const created = { bornAt: entry.bornAt, pace: new EndpointPace(), openUnits: new Map<string, number>() }
    this.#endpoints.set(entry.id, created)
    return created
  }

  #find ({ id, bornAt }: EndpointKey): PacedEndpoint | undefined {
    const known = this.#endpoints.get(id)
    return known?.bornAt === bornAt ? known : undefined
  }

  #addUnit (service: string, unitMs: number): void {
    const units = this.#services.get(service) ?? { unitsMs: [], next: 0, usualMs: undefined, mean: 1, slowFactor: OVERDUE_RATIO, computedAt: -Infinity }
    this.#services.set(service, units)
    units.unitsMs[units.next] = unitMs
    units.next = (units.next + 1) % SAMPLE_SIZE
  }

  #usualMs (service: string, now: number): number | undefined {
    const units = this.#services.get(service)
    if (units === undefined || units.unitsMs.length < MIN_SAMPLE_SIZE) return undefined
    if (now - units.computedAt >= SUMMARY_TTL_MS) {
      const sorted = [...units.unitsMs].sort((a, b) => a - b)
      const usualMs = Math.max(1, sorted[Math.floor(sorted.length * USUAL_QUANTILE)] ?? 1)
      units.usualMs = usualMs
      units.mean = Math.max(1, average(sorted) / usualMs)
      const slow = sorted.filter((unitMs) => unitMs > usualMs * OVERDUE_RATIO)
      units.slowFactor = slow.length === 0 ? OVERDUE_RATIO : average(slow) / usualMs
      units.computedAt = now
    }
    return units.usualMs
  }
}

function average (values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length
}

function longestOpenUnit ({ openUnits }: PacedEndpoint, service: Pick<OverdueUnit, 'usualMs' | 'slowFactor'>, now: number): OverdueUnit | undefined {
  let since = Infinity
  for (const startedAt of openUnits.values()) since = Math.min(since, startedAt)
  return since === Infinity ? undefined : { ...service, elapsedMs: now - since }
}
