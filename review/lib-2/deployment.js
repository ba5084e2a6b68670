import { mkdtempSync, rmSync } from 'node:fs'
import { createServer } from 'node:http'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { CutLink } from './cut-link.js'
import { Engine } from './engine.js'
import { Host } from './host.js'
import { Link } from './link.js'
import { Store } from './store.js'
import { until } from './time.js'

export const DESK = { host: 'desk.example', prefix: '/desk/', service: 'desk' }
export const DRAFTS = { host: 'desk.example', prefix: '/drafts/', service: 'models' }
export const KEY = 'k1a2b3c4d5e6f7g8h9j0'
export const OTHER_KEY = 'm1n2p3q4r5s6t7u8v9w0'

const ZONES = { 'leith-walk': 'lothian', grassmarket: 'lothian', castlegate: 'grampian' }
const ZONE_NAMES = Object.keys(ZONES)

/** Region of the store, and the time of a way to it from the other region, in milliseconds. */
const STORE_REGION = 'lothian'
const REGION_MS = 12

/** A small deployment on loopback addresses: a store, the platform's API, engines and entry hosts. */
export class Deployment {
  store = new Store()
  hosts = []
  engines = []
  /** The links of the hosts to the store, in the order of the hosts. */
  links = []
  /** Their links to the platform's API. */
  cloudLinks = []
  /** Calls that the platform's API got, in order. */
  calls = []
  folder = mkdtempSync(join(tmpdir(), 'review-'))
  #prefix
  #cloud

  constructor () {
    const [second, third] = [64 + Math.floor(Math.random() * 64), Math.floor(Math.random() * 250)]
    this.#prefix = `127.${second}.${third}`
    this.#cloud = createServer((request, response) => {
      let text = ''
      request.on('data', (chunk) => {
        text += chunk
      })
      request.on('end', () => {
        this.calls.push({ path: request.url, holder: request.headers['x-cyclamenthread-duty-holder'], fence: Number(request.headers['x-cyclamenthread-fence-token']), body: text, at: performance.now() })
        response.writeHead(200).end()
      })
    })
  }

  /** Loopback address of one member of the deployment. */
  ip (number) {
    return `${this.#prefix}.${number}`
  }

  /**
   * @param hosts number of entry hosts
   * @param desks number of engines of the plain service
   * @param others number of engines of a second plain service
   * @param models number of engines of the model service
   */
  async start ({ hosts, desks = 2, others = 0, models = 4, workMs, memoryMb, config = (declared) => declared }) {
    await this.store.listen(this.ip(250))
    await new Promise((resolve) => this.#cloud.listen(0, this.ip(251), resolve))
    this.store.put('config', 'main', config(declaration()))
    for (let index = 0; index < desks; index += 1) await this.#addEngine({ id: `i-desk${index}`, service: 'desk', zone: ZONE_NAMES[index % 3], slots: 6, ...(workMs?.desk === undefined ? {} : { workMs: workMs.desk }) }, 100 + index)
    for (let index = 0; index < others; index += 1) await this.#addEngine({ id: `i-other${index}`, service: 'other', zone: ZONE_NAMES[index % 3], slots: 6 }, 140 + index)
    for (let index = 0; index < models; index += 1) await this.#addEngine({ id: `i-model${index}`, service: 'models', zone: ZONE_NAMES[index % 3], slots: 12, models: ['m0'], ...(workMs?.models === undefined ? {} : { workMs: workMs.models }) }, 120 + index)
    const cloud = `${this.ip(251)}:${this.#cloud.address().port}`
    for (let index = 0; index < hosts; index += 1) {
      const zone = ZONE_NAMES[index % 3]
      const link = new Link(this.store.address, ZONES[zone] === STORE_REGION ? 0 : REGION_MS)
      await link.listen(this.ip(200 + index))
      this.links.push(link)
      const cloudLink = new CutLink(cloud)
      await cloudLink.listen(this.ip(220 + index))
      this.cloudLinks.push(cloudLink)
      const host = new Host({ id: `edge-${index}`, ip: this.ip(1 + index), zone, region: ZONES[zone], zones: ZONES }, { store: link.address, cloud: cloudLink.address, folder: this.folder, memoryMb })
      this.hosts.push(host)
      host.start()
    }
    await until('all hosts are ready', async () => (await Promise.all(this.hosts.map(async (host) => await host.isReady()))).every(Boolean), 20_000)
  }

  async #addEngine (settings, number) {
    const engine = new Engine(settings, this.store)
    await engine.listen(this.ip(number))
    this.engines.push(engine)
  }

  /** Requests that engines of a service ran. */
  runs (service) {
    return this.engines.filter((engine) => engine.service === service).flatMap(({ id: engineId, runs }) => runs.map((run) => ({ ...run, engineId })))
  }

  async stop () {
    await Promise.all(this.hosts.map(async (host) => await host.stop()))
    for (const engine of this.engines) engine.close()
    for (const link of [...this.links, ...this.cloudLinks]) link.close()
    this.store.close()
    this.#cloud.closeAllConnections()
    this.#cloud.close()
    rmSync(this.folder, { recursive: true, force: true })
  }
}

/** The configuration: one route of a plain service, one of a model service, and two tenants. */
function declaration () {
  return {
    version: 1,
    routes: [
      { name: 'desk', host: DESK.host, pathPrefix: DESK.prefix, type: 'idempotent', timeoutMs: 2_000, goalMs: 236, priority: 2, service: 'desk', maxAttempts: 2, public: false },
      { name: 'drafts', host: DRAFTS.host, pathPrefix: DRAFTS.prefix, type: 'rollout', timeoutMs: 10_000, goalMs: 400, priority: 1, service: 'models', maxAttempts: 3, itemTtlS: 40, dueMs: 7_500, singleVersion: false, public: false, sticky: true, resumable: true }
    ],
    services: [
      { name: 'desk', healthPath: '/healthz', maxConns: 110, protocol: 'h1', tls: false },
      { name: 'other', healthPath: '/healthz', maxConns: 110, protocol: 'h1', tls: false },
      { name: 'models', healthPath: '/healthz', maxConns: 160, protocol: 'h1', tls: false, engine: { slots: 12, kvCapacity: 85_643, models: [{ name: 'm0' }] } }
    ],
    limits: { maxHeaderBytes: 16_384, maxBodyBytes: 33_554_432, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
    tenants: [{ name: 'office', apiKeys: [KEY], priority: 1 }, { name: 'school', apiKeys: [OTHER_KEY], priority: 1 }]
  }
}
