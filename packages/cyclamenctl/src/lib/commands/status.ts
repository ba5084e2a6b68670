import { fetchLiveHosts, fetchReadiness } from '../host-directory.js'
import { ExitCode } from '../exit-code.js'
import { withStore } from '../operator-store.js'
import type { HostAddress, Readiness } from '../host-directory.js'
import type { Command } from '../command.js'

/** A live host and what it says of itself. */
export interface HostStatus extends HostAddress {
  /** Absent when the host does not answer. */
  readonly readiness?: Readiness
}

/** The state of a deployment as an operator sees it. */
export interface StatusResult {
  /** Revision in the store; 0 before the first apply. */
  readonly revision: number
  readonly hosts: readonly HostStatus[]
  /** Hosts that report the revision of the store or a later one. */
  readonly current: number
}

/** `cyclamenctl status`: the revision in the store and on every live host. */
export const status: Command<StatusResult> = {
  words: 'status',
  parameters: [],
  flags: ['storeUrl', 'hostUrl', 'platformUrl'],
  summary: 'Show the revision in the store and on every live host',
  help: `Exit code 6 when a live host does not answer or is behind the store.

Example
  cyclamenctl status --store-url http://10.0.0.9:9000 --host-url http://10.0.0.1:8000`,
  run: async (context) => await withStore(context, async (store) => {
    const read = await store.read()
    if (!read.ok) return read
    const live = await fetchLiveHosts(context.flags)
    if (!live.ok) return live
    const revision = read.stored?.revision ?? 0
    const hosts = await Promise.all(live.hosts.map(async (host): Promise<HostStatus> => {
      const readiness = await fetchReadiness(host.url)
      return readiness === undefined ? host : { ...host, readiness }
    }))
    const current = hosts.filter((host) => (host.readiness?.catalogueRevision ?? 0) >= revision).length
    return { ok: true, exit: current === hosts.length ? ExitCode.Success : ExitCode.Incomplete, result: { revision, hosts, current } }
  }),
  render: ({ revision, hosts, current }) => [
    `revision ${revision} in the store; in force on ${current} of ${hosts.length} live hosts`,
    ...hosts.map((host) => `  ${host.url}  ${host.region}/${host.failureDomain}  ${formatReadiness(host.readiness)}`)
  ]
}

function formatReadiness (readiness: Readiness | undefined): string {
  if (readiness === undefined) return 'does not answer'
  if (readiness.leaving) return `leaving, revision ${readiness.catalogueRevision}`
  return `${readiness.ready ? 'ready' : 'not ready'}, revision ${readiness.catalogueRevision}`
}
