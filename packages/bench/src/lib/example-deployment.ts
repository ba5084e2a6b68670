import { readdir, readFile } from 'node:fs/promises'
import { join } from 'node:path'
import { parseEnv } from 'node:util'
import { readDeclaredCatalogue } from 'cyclamenctl'
import { EntryKind } from '@cyclamenthread/state'
import { BookingStandin, EngineStandin, PlatformStandin, StoreStandin } from '@cyclamenthread/standins'
import { ProcessHost } from './service-host.js'
import type { Catalogue, Endpoint } from '@cyclamenthread/state'
import type { PlatformHost } from '@cyclamenthread/protocol'
import type { HostStarter } from './deployment.js'
import type { HostEnvironment, ServiceHost } from './service-host.js'

/** Time that an engine stand-in takes per token, in milliseconds. */
const TOKEN_MS = 2

/** A server that is closed at the end. */
interface Closable {
  close (): Promise<void>
}

/**
 * Runs a folder of `examples/`: hosts with the settings in that folder, and
 * stand-ins at the addresses of its declarations. Applying the catalogue is
 * left to the operator.
 */
export class ExampleDeployment {
  readonly hosts: ServiceHost[] = []
  /** Base URLs for callers, in the order of `hosts`. */
  readonly urls: string[] = []
  readonly #folder: string
  readonly #secrets: HostEnvironment
  readonly #startHost: HostStarter
  readonly #standins: Closable[] = []

  /**
   * @param folder path of the example
   * @param secrets settings that are not stored in the folder, by environment variable
   * @param starter starts a host
   */
  constructor (folder: string, secrets: HostEnvironment, starter: HostStarter = ProcessHost.start) {
    this.#folder = folder
    this.#secrets = secrets
    this.#startHost = starter
  }

  /** Starts the stand-ins, then the hosts. */
  async start (): Promise<void> {
    const declared = await readDeclaredCatalogue(this.#folder)
    if (!declared.ok) throw new Error(declared.failure.map((fault) => `${fault.file}:${fault.line}: ${fault.message}`).join('\n'))
    const environments = await this.#readEnvironments()
    await this.#startPlatform(environments)
    await this.#startEndpoints(declared.value)
    this.hosts.push(...await Promise.all(environments.map(async (environment) => await this.#startHost(environment))))
    this.urls.push(...environments.map((environment) => callerUrlOf(environment)))
  }

  /** Drains the hosts and closes the stand-ins. */
  async stop (): Promise<void> {
    await Promise.all(this.hosts.map(async (host) => await host.drain()))
    await Promise.all(this.#standins.map(async (standin) => await standin.close()))
  }

  /** Reads the settings of each host: the common ones, then its own, then the secrets. */
  async #readEnvironments (): Promise<HostEnvironment[]> {
    const folder = join(this.#folder, 'settings')
    const common = parseEnv(await readFile(join(folder, 'common.env'), 'utf8'))
    const files = (await readdir(folder)).filter((file) => file.startsWith('host-')).sort()
    return await Promise.all(files.map(async (file) => {
      return { ...common, ...parseEnv(await readFile(join(folder, file), 'utf8')), ...this.#secrets } as HostEnvironment
    }))
  }

  async #startPlatform (environments: readonly HostEnvironment[]): Promise<void> {
    const store = new StoreStandin()
    const platform = new PlatformStandin()
    platform.hosts = environments.map(toPlatformHost)
    this.#standins.push(store, platform)
    await store.listen(parsePort(environments[0]?.['CYCLAMENTHREAD_STORE_URL']))
    await platform.listen(parsePort(environments[0]?.['CYCLAMENTHREAD_PLATFORM_URL']))
  }

  async #startEndpoints (catalogue: Catalogue): Promise<void> {
    for (const pool of catalogue.pools) {
      for (const endpoint of pool.endpoints) await this.#startEndpoint(pool.kind, endpoint)
    }
  }

  async #startEndpoint (kind: EntryKind, endpoint: Endpoint): Promise<void> {
    const standin = kind === EntryKind.Model
      ? new EngineStandin({ slots: endpoint.slots, tokenMs: TOKEN_MS, prefillMs: 0, checksFencing: true })
      : new BookingStandin()
    this.#standins.push(standin)
    await standin.listen(parsePort(endpoint.url))
  }
}

function parsePort (url: string | undefined): number {
  return Number(new URL(url ?? 'http://127.0.0.1:0').port)
}

function callerUrlOf (environment: HostEnvironment): string {
  return `http://${environment['CYCLAMENTHREAD_CALLER_ADDRESS'] ?? ''}`
}

/** Converts the settings of a host to its entry in the platform's host list. */
function toPlatformHost (environment: HostEnvironment): PlatformHost {
  return {
    id: environment['CYCLAMENTHREAD_HOST_ID'] ?? '',
    region: environment['CYCLAMENTHREAD_REGION'] ?? '',
    failureDomain: environment['CYCLAMENTHREAD_FAILURE_DOMAIN'] ?? '',
    peerAddress: environment['CYCLAMENTHREAD_PEER_ADDRESS'] ?? '',
    callerUrl: callerUrlOf(environment),
    hasDataFolder: environment['CYCLAMENTHREAD_DATA_FOLDER'] !== undefined,
    leaving: false
  }
}
