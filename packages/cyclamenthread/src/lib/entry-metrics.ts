import type { EntryService } from './entry-service.js'
import type { JsonLog } from './json-log.js'
import type { MeteredLog } from './metered-log.js'

/** What the metrics of an entry host are read from. */
export interface EntryMetricsSource {
  readonly lines: Pick<JsonLog, 'dropped'>
  readonly service: Pick<EntryService, 'ready'> & { readonly rollouts: Pick<EntryService['rollouts'], 'running'> }
  /** Calls of the store since the start of the process, by method and kind. */
  readonly storeCalls: ReadonlyMap<string, number>
}

/**
 * Adds the figures of an entry host to those that its log counts.
 *
 * @example
 * exposeEntryFigures(log, { lines, service, storeCalls: store.calls })
 */
export function registerEntryMetrics (log: MeteredLog, { lines, service, storeCalls }: EntryMetricsSource): void {
  log.registerGauge('cyclamenthread_store_calls', 'Calls of the store since the start of the process, by method and kind.', () => storeCalls)
  log.registerGauge('cyclamenthread_state', 'State of the process: lines dropped, rollouts that run, whether it is ready.', () => [
    ['lines-dropped', lines.dropped], ['rollouts', service.rollouts.running], ['ready', service.ready ? 1 : 0]
  ])
}
