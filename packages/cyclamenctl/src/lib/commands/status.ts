import { fetchLiveHosts, fetchReadiness } from '../host-directory.js'
import { ExitCode } from '../exit-code.js'
import { withStore } from '../operator-store.js'
import type { HostAddress, Readiness } from '../host-directory.js'
import type { Command } from '../command.js'

/** A live host and its readiness. */
export interface HostStatus extends HostAddress {
  /** Absent if the host doesn't answer. */
  readonly readiness?: Readiness
}

/** Result of `status`. */
export interface StatusResult {
  /** The revision in the store; 0 before the first apply. */
  readonly revision: number
  readonly hosts: readonly HostStatus[]
  /** Number of hosts that report the revision in the store or a later one. */
  readonly current: number
}

/** `cyclamenctl status`: shows the revision in the store and on every live host. */
export const status: Command<StatusResult> = {
  words: 'status',
  parameters: [],
  flags: ['storeUrl', 'hostUrl', 'platformUrl'],
  summary: 'Show the revision in the store and on every live host',
  help: `Exit code 6 if a live host doesn't answer or has an older revision than the store.

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
  if (readiness === undefined) return 'no answer'
  if (readiness.leaving) return `leaving, revision ${readiness.catalogueRevision}`
  return `${readiness.ready ? 'ready' : 'not ready'}, revision ${readiness.catalogueRevision}`
}
