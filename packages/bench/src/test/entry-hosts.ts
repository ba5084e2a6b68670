import { EntryService } from 'cyclamenthread'
import { SILENT_LOG, StoreMirror } from '@cyclamenthread/coordination'
import { PlatformCallStatus } from '@cyclamenthread/protocol'
import { MemoryStore, seededRandom } from '@cyclamenthread/standins'
import { RouteKind, success } from '@cyclamenthread/state'
import { findFreePorts } from '../lib/free-ports.js'
import type { DeploymentDecoder } from '@cyclamenthread/coordination'
import type { EndpointPort, SnapshotStore } from '@cyclamenthread/protocol'
import type { Declaration, EndpointEntry, Route } from '@cyclamenthread/state'
import type { ExecutionContext } from 'ava'

/** A route of idempotent calls to the service `desk`. */
export const DESK_ROUTE: Route = {
  name: 'desk',
  host: 'desk.example',
  pathPrefix: '/',
  kind: RouteKind.Idempotent,
  shares: [{ service: 'desk', weight: 1 }],
  timeoutMs: 2_000,
  targetMs: 200,
  maxAttempts: 2,
  open: true,
  dueMs: 0,
  sampleLifetimeMs: 0,
  singleVersion: false
}

const DECLARATION: Declaration = {
  version: 1,
  routes: [DESK_ROUTE],
  services: [],
  workspaces: undefined,
  limits: { maxHeaderBytes: 10_000, maxBodyBytes: 10_000, headerTimeoutMs: 1_000, idleTimeoutMs: 10_000 }
}

/** Returns stored objects unchanged: the test stores decoded values. */
const DECODER: DeploymentDecoder = {
  declaration: (object) => success(object.value as Declaration),
  endpoint: (object) => success(object.value as EndpointEntry)
}

/** Hosts to start, and the endpoints that they use. */
interface HostsPlan {
  /** Failure domain of each host. */
  readonly domains: readonly string[]
  /** Returns a host's way to the endpoints. */
  readonly portOf: (host: number) => EndpointPort
  readonly entries: readonly EndpointEntry[]
  /** Returns the hosts' way to the store; without it, they use the store itself. */
  readonly storeOf?: (store: MemoryStore) => SnapshotStore
  /** Services besides the one of plain calls. */
  readonly services?: Declaration['services']
  /** Returns the newest version of each model. */
  readonly releases?: () => ReadonlyMap<string, number>
}

/** Starts hosts that share an in-memory store and reach each other over loopback. */
export async function startHosts (t: ExecutionContext, { domains, portOf, entries, storeOf = (store) => store, services = [], releases = () => new Map() }: HostsPlan): Promise<EntryService[]> {
  const memory = new MemoryStore({ sleep: async (milliseconds) => await new Promise((resolve) => setTimeout(resolve, milliseconds)) }, seededRandom(1))
  memory.set('config/main', { ...DECLARATION, services })
  for (const entry of entries) memory.set(`servers/${entry.id}`, entry)
  const store = storeOf(memory)
  const ports = await findFreePorts(domains.length)
  const regions = Object.fromEntries(domains.map((domain) => [domain, 'lothian']))
  return await Promise.all(ports.map(async (port, index) => {
    const failureDomain = domains[index] ?? ''
    const mirror = (prefix: string): StoreMirror => new StoreMirror({ prefix, waitMs: 500, noticeMs: 2_500, changePauseMs: 0 }, store, SILENT_LOG, () => 0)
    const mirrors = { declarations: mirror('config/'), registry: mirror('servers/') }
    const service = await EntryService.open({
      self: { id: `h${index}`, region: 'lothian', failureDomain, peerAddress: `127.0.0.1:${port}`, callerUrl: 'http://127.0.0.1:1', hasDataFolder: false },
      networkLocation: { failureDomain, region: 'lothian', regions },
      storeRegion: 'lothian',
      leaseMs: 3_000,
      usageWindowMs: 5_000,
      addressTtlMs: 1_000
    }, {
      ...mirrors,
      store,
      endpoints: portOf(index),
      platform: { reportUsage: async () => PlatformCallStatus.Done, orderCapacity: async () => PlatformCallStatus.Done, close: async () => {} },
      decoder: DECODER,
      leaderMirrors: [],
      newestVersions: releases,
      retirements: { pending: () => [], complete: async () => true },
      log: SILENT_LOG
    })
    if (service === undefined) throw new Error('the cluster secret was not read')
    await service.start()
    t.teardown(async () => {
      await service.stop()
      for (const one of Object.values(mirrors)) one.stop()
    })
    return service
  }))
}
