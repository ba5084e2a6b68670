import { monotonicNow } from '@cyclamenthread/transport'
import type { ClientGuard } from './clients/client-guard.js'
import type { EntryService } from './entry-service.js'
import type { JsonLog } from './json-log.js'
import type { MeteredLog } from './metered-log.js'

/** Sources of the metrics of an entry host. */
export interface EntryMetricsSource {
  readonly jsonLog: Pick<JsonLog, 'dropped'>
  readonly service: Pick<EntryService, 'ready'> & { readonly deployment: Pick<EntryService['deployment'], 'endpointTable'>, readonly rollouts: Pick<EntryService['rollouts'], 'running'>, readonly capacity: Pick<EntryService['capacity'], 'missingEndpoints'> }
  /** Number of store calls since the process started, by method and kind. */
  readonly storeCalls: ReadonlyMap<string, number>
  /** Limits that clients have reached. */
  readonly guard: Pick<ClientGuard, 'budget' | 'figures'>
}

/**
 * Registers the metrics of an entry host that aren't derived from its log.
 *
 * @example
 * registerEntryMetrics(log, { jsonLog, service, storeCalls: store.calls, guard })
 */
export function registerEntryMetrics (log: MeteredLog, { jsonLog, service, storeCalls, guard }: EntryMetricsSource): void {
  log.registerGauge('cyclamenthread_store_calls', 'Calls of the store since the start of the process, by method and kind.', () => storeCalls)
  log.registerGauge('cyclamenthread_client_limits', 'Requests refused and connections closed because of a limit on clients since the start of the process, by limit.', () => guard.figures())
  log.registerGauge('cyclamenthread_client_bytes', 'Memory that requests of clients occupy, in bytes.', () => [['requests', guard.budget.used]])
  log.registerGauge('cyclamenthread_endpoint_limit', 'Requests per second that endpoints accept from all hosts, by endpoint, for those that name a limit or are cold.', () =>
    service.deployment.endpointTable.limitedEndpoints(monotonicNow()).map(([record, limit]): readonly [string, number] => [record.entry.id, limit.requestsPerSecond]))
  log.registerGauge('cyclamenthread_missing_endpoints', 'Endpoints that are missing in a failure domain, by service and failure domain, as the leader of the duties sees it.', () => service.capacity.missingEndpoints())
  log.registerGauge('cyclamenthread_evacuated_domains', 'Failure domains that the operator has evacuated, as this host knows them; 1 for each.', () =>
    [...service.deployment.endpointTable.evacuatedDomains].map((domain): readonly [string, number] => [domain, 1]))
  log.registerGauge('cyclamenthread_state', 'State of the process: lines dropped, rollouts that run, whether it is ready.', () => [
    ['lines-dropped', jsonLog.dropped], ['rollouts', service.rollouts.running], ['ready', service.ready ? 1 : 0]
  ])
}
