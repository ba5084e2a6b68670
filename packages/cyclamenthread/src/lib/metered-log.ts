import { Counter, Gauge, Histogram, Registry } from 'prom-client'
import { LogEvent } from '@cyclamenthread/coordination'
import type { EventLog, LogFields } from '@cyclamenthread/coordination'

/** Upper bounds of the latency histograms, in seconds: from a fast call to the longest step. */
const LATENCY_BUCKETS_S = [0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3, 6, 12, 24]

/** Events whose duration is kept as a histogram. */
const TIMED_EVENTS: ReadonlySet<LogEvent> = new Set([LogEvent.RequestAnswered, LogEvent.RequestEnded, LogEvent.SampleEnded])

/** Milliseconds of a second. */
const MS_PER_SECOND = 1_000

/**
 * A log that also counts: each line is one count of its event and outcome, and
 * lines that name a duration go into a histogram. So the metrics can't say
 * anything that the log does not.
 *
 * @example
 * const log = new MeasuredLog(new JsonLog('edge-1'))
 * await log.exposition() // text for a Prometheus scrape
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
   * Adds a figure that is read when metrics are asked for.
   *
   * @param read values by the label `kind`
   */
  registerGauge (name: string, help: string, read: () => Iterable<readonly [kind: string, value: number]>): void {
    const gauge = new Gauge({
      name,
      help,
      labelNames: ['kind'],
      registers: [this.#registry],
      collect () {
        for (const [kind, value] of read()) gauge.set({ kind }, value)
      }
    })
  }

  /** All metrics as text. */
  async renderMetrics (): Promise<string> {
    return await this.#registry.metrics()
  }
}
