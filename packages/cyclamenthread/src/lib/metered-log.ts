import { Counter, Gauge, Histogram, Registry } from 'prom-client'
import { LogEvent } from '@cyclamenthread/coordination'
import type { EventLog, LogFields } from '@cyclamenthread/coordination'

/** Bucket bounds of the latency histogram, in seconds: from a fast call to the longest training step. */
const LATENCY_BUCKETS_S = [0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3, 6, 12, 24]

/** Events whose duration is recorded in the histogram. */
const TIMED_EVENTS: ReadonlySet<LogEvent> = new Set([LogEvent.RequestAnswered, LogEvent.RequestEnded, LogEvent.SampleEnded])

/** Milliseconds per second. */
const MS_PER_SECOND = 1_000

/**
 * A log that also records metrics: it counts lines by event and outcome, and
 * records their durations in a histogram. Metrics and log therefore never
 * disagree.
 *
 * @example
 * const log = new MeteredLog(new JsonLog('edge-1'))
 * await log.renderMetrics() // text for a Prometheus scrape
 */
export class MeteredLog implements EventLog {
  readonly #log: EventLog
  readonly #registry = new Registry()
  readonly #events: Counter
  readonly #latencies: Histogram

  constructor (log: EventLog) {
    this.#log = log
    const registers = [this.#registry]
    this.#events = new Counter({
      name: 'cyclamenthread_events_total',
      help: 'Lines of the log since the start of the process, by event and outcome.',
      labelNames: ['event', 'outcome'],
      registers
    })
    this.#latencies = new Histogram({
      name: 'cyclamenthread_latency_seconds',
      help: 'Durations that the log names: answers to callers, calls of endpoints, samples; by event and outcome.',
      labelNames: ['event', 'outcome'],
      buckets: LATENCY_BUCKETS_S,
      registers
    })
  }

  record (event: LogEvent, fields: LogFields): void {
    this.#log.record(event, fields)
    const outcome = String(fields.outcome ?? fields.status ?? '')
    this.#events.inc({ event, outcome })
    if (TIMED_EVENTS.has(event) && typeof fields.tookMs === 'number') this.#latencies.observe({ event, outcome }, fields.tookMs / MS_PER_SECOND)
  }

  /**
   * Registers a gauge whose values are read on each scrape.
   *
   * @param read returns the values by the label `kind`
   */
  registerGauge (name: string, help: string, read: () => Iterable<readonly [kind: string, value: number]>): void {
    const gauge = new Gauge({
      name,
      help,
      labelNames: ['kind'],
      registers: [this.#registry],
      collect () {
        gauge.reset()
        for (const [kind, value] of read()) gauge.set({ kind }, value)
      }
    })
  }

  /** Renders all metrics in the Prometheus text format. */
  async renderMetrics (): Promise<string> {
    return await this.#registry.metrics()
  }
}
