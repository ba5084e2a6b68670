import { build } from 'hdr-histogram-js'
import type { Histogram } from 'hdr-histogram-js'

/** Latencies are kept in units of this part of a millisecond. */
const UNITS_PER_MS = 1_000

/** Longest latency that is told apart, in milliseconds. */
const MAX_LATENCY_MS = 60_000

/** What a load run found. */
export interface OpenLoopResult {
  readonly finished: number
  readonly failed: number
  readonly seconds: number
  readonly latency: LatencyHistogram
}

/** Latencies of a run, in milliseconds. */
export class LatencyHistogram {
  readonly #histogram: Histogram = build({ lowestDiscernibleValue: 1, highestTrackableValue: MAX_LATENCY_MS * UNITS_PER_MS, numberOfSignificantValueDigits: 3 })

  /** Adds one latency in milliseconds. */
  add (milliseconds: number): void {
    this.#histogram.recordValue(Math.max(1, Math.round(milliseconds * UNITS_PER_MS)))
  }

  /** The latency in milliseconds below which `percent` of the requests lie. */
  percentile (percent: number): number {
    return this.#histogram.getValueAtPercentile(percent) / UNITS_PER_MS
  }
}

/**
 * Sends requests at a fixed rate, whatever the answers do, and measures each
 * from the moment it was due, so that a stall is not hidden by the requests it delays.
 *
 * @param ratePerSecond requests a second
 * @param seconds how long
 * @param send sends the request of that number; true when it was answered well
 * @example
 * const result = await openLoop(200, 10, async (index) => await ask(index))
 */
export async function runOpenLoop (ratePerSecond: number, seconds: number, send: (index: number) => Promise<boolean>): Promise<OpenLoopResult> {
  const latency = new LatencyHistogram()
  const startedAt = performance.now()
  const running: Array<Promise<void>> = []
  const counts = { finished: 0, failed: 0 }
  const total = Math.round(ratePerSecond * seconds)
  for (let index = 0; index < total; index++) {
    const dueAt = startedAt + index * 1_000 / ratePerSecond
    const waitMs = dueAt - performance.now()
    if (waitMs > 0) await new Promise((resolve) => setTimeout(resolve, waitMs))
    const sentAt = performance.now()
    running.push(send(index).then((succeeded) => {
      latency.add(performance.now() - sentAt)
      if (succeeded) counts.finished += 1
      else counts.failed += 1
    }, () => {
      counts.failed += 1
    }))
  }
  await Promise.all(running)
  return { ...counts, seconds: (performance.now() - startedAt) / 1_000, latency }
}
