import { Gauge } from 'prom-client'
import { HostState } from '@cyclamenthread/state'
import type { Registry } from 'prom-client'
import type { CatalogueSource, MemberView, UsageTask } from '@cyclamenthread/coordination'

/** The tasks whose state is exposed to operators. */
export interface OperatorMetricsSource {
  readonly catalogue: CatalogueSource
  readonly members: MemberView
  readonly usage: UsageTask
}

/**
 * Registers the gauges used by the alerts in docs/OPERATIONS.md.
 *
 * @example
 * registerOperatorMetrics(registry, { catalogue, members, usage })
 */
export function registerOperatorMetrics (registry: Registry, tasks: OperatorMetricsSource): void {
  const registers = [registry]
  const revision = new Gauge({
    name: 'cyclamenthread_catalogue_revision',
    help: 'Catalogue revision in force on this host; 0 before the first.',
    registers,
    collect () { revision.set(tasks.catalogue.current()?.revision ?? 0) }
  })
  const hosts = new Gauge({
    name: 'cyclamenthread_hosts',
    help: 'Hosts that this host knows, itself among them, by state.',
    labelNames: ['state'],
    registers,
    collect () {
      const members = tasks.members.members()
      for (const state of Object.values(HostState)) hosts.set({ state }, members.filter((member) => member.state === state).length)
    }
  })
  const windows = new Gauge({
    name: 'cyclamenthread_usage_windows',
    help: 'Usage windows this host has sealed, reported, and failed to report since the start of the process.',
    labelNames: ['outcome'],
    registers,
    collect () { for (const [outcome, count] of Object.entries(tasks.usage.counters)) windows.set({ outcome }, count) }
  })
}
