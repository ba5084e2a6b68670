import { build } from 'hdr-histogram-js'
import type { Histogram } from 'hdr-histogram-js'

/** Histogram units per millisecond: latencies are recorded in microseconds. */
const UNITS_PER_MS = 1_000

/** Largest latency that the histogram can record, in milliseconds. */
const MAX_LATENCY_MS = 60_000

/** Counts and latencies of an open-loop run. */
export interface OpenLoopResult {
  readonly finished: number
  readonly failed: number
  readonly seconds: number
  readonly latency: LatencyHistogram
}

/** Histogram of latencies with three significant digits. */
export class LatencyHistogram {
  readonly #histogram: Histogram = build({ lowestDiscernibleValue: 1, highestTrackableValue: MAX_LATENCY_MS * UNITS_PER_MS, numberOfSignificantValueDigits: 3 })

  /** Adds one latency in milliseconds. */
  add (milliseconds: number): void {
    this.#histogram.recordValue(Math.max(1, Math.round(milliseconds * UNITS_PER_MS)))
  }

  /** Returns the latency percentile in milliseconds. */
  percentile (percent: number): number {
    return this.#histogram.getValueAtPercentile(percent) / UNITS_PER_MS
  }
}

/**
 * Sends requests at a fixed rate, whether or not earlier ones were answered, so
 * that a stall does not slow the load down. Latency counts from the time a
 * request is sent.
 *
 * @param ratePerSecond requests per second
 * @param seconds duration of the load
 * @param send sends the request with this index; resolves to true if it succeeded
 * @example
 * const result = await runOpenLoop(200, 10, async (index) => await sendRequest(index))
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
