// Stand-ins and process control for the scripts of the third review. Plain Node.js, no dependencies.
import { spawn } from 'node:child_process'
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { createServer, request as sendRequest } from 'node:http'
import { connect, createServer as createTcpServer } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'

/** Root of the repository: the programs of the deploy file run there. */
const ROOT = new URL('../../', import.meta.url).pathname

/** Zones of the deployment and their regions. */
export const ZONES = { 'leith-walk': 'lothian', grassmarket: 'lothian', castlegate: 'grampian' }

/** Host name of all routes. */
export const ROUTE_HOST = 'desk.example'

/** Exit codes of a script. */
export const Exit = { Held: 0, Broken: 1, NotRun: 2 }

export const sleep = async (ms) => await new Promise((resolve) => setTimeout(resolve, Math.max(0, ms)))

/** Whether the disruption of the case is played. */
export const isTroubled = process.env.TROUBLE !== '0'

/** Writes the record of a case: one line for each event, with seconds since its start. */
export class Record {
  #startedAt = performance.now()

  constructor (path) {
    this.path = path
    writeFileSync(path, '')
  }

  get now () {
    return performance.now() - this.#startedAt
  }

  add (text) {
    appendFileSync(this.path, `${(this.now / 1_000).toFixed(3)} ${text}\n`)
  }
}

async function readAll (stream) {
  const chunks = []
  for await (const chunk of stream) chunks.push(chunk)
  return Buffer.concat(chunks)
}

async function listen (server, host, port) {
  await new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, resolve)
  })
}

/** The platform's metadata store, as far as the service uses it; each host may have its own address. */
export class Store {
  revision = 1
  calls = 0
  /** Called for each call; a returned value is sent in place of the store's answer, and `null` stops its processing. */
  onCall = () => undefined
  /** Returns the value of an object as a client sees it. */
  viewOf = (client, kind, name, spec) => spec
  #objects = new Map()
  #history = []
  #watches = new Set()
  #servers = []

  async listen (host, port, client) {
    const server = createServer((request, response) => {
      this.#handle(request, response, client).catch(() => response.destroy())
    })
    server.keepAliveTimeout = 60_000
    await listen(server, host, port)
    this.#servers.push(server)
    return `${host}:${server.address().port}`
  }

  close () {
    for (const server of this.#servers) {
      server.closeAllConnections()
      server.close()
    }
  }

  find (kind, name) {
    return this.#objects.get(`${kind}/${name}`)
  }

  names (kind) {
    return [...this.#objects.values()].filter((object) => object.kind === kind).map(({ name }) => name)
  }

  put (kind, name, spec) {
    const held = this.find(kind, name)
    if (held !== undefined && JSON.stringify(held.spec) === JSON.stringify(spec)) return held
    return this.#change({ kind, name, spec, status: held?.status })
  }

  remove (kind, name) {
    const held = this.find(kind, name)
    if (held === undefined) return
    this.#objects.delete(`${kind}/${name}`)
    this.revision += 1
    this.#publish({ object: { ...held, revision: this.revision }, deleted: true })
  }

  /** Ends the watches that wait, as the store may. */
  cutWatches (client) {
    let count = 0
    for (const watch of [...this.#watches]) {
      if (client !== undefined && watch.client !== client) continue
      count += 1
      watch.cut()
    }
    return count
  }

  #show (client, object) {
    return toWire({ ...object, spec: this.viewOf(client, object.kind, object.name, object.spec) })
  }

  #change ({ kind, name, spec, status }) {
    this.revision += 1
    const object = { kind, name, spec, status, revision: this.revision }
    this.#objects.set(`${kind}/${name}`, object)
    this.#publish({ object, deleted: false })
    return object
  }

  #publish (change) {
    this.#history.push(change)
    for (const { wake } of [...this.#watches]) wake()
  }

  async #handle (request, response, client) {
    const body = await readAll(request)
    this.calls += 1
    const url = new URL(request.url, 'http://store')
    const [, , , kind = '', encoded = '', part = ''] = url.pathname.split('/')
    const given = body.length === 0 ? undefined : JSON.parse(body.toString())
    const name = encoded === '' ? given?.metadata?.name : decodeURIComponent(encoded)
    const call = { client, method: request.method, kind, name, part, given, watch: url.searchParams.get('watch'), response, request }
    const replaced = await this.onCall(call, () => this.#apply(call, url, body.length))
    if (replaced === null) return
    if (replaced === undefined && request.method === 'GET' && call.watch !== null) {
      await this.#watch(call, Number(url.searchParams.get('waitMs') ?? 0))
      return
    }
    this.#respond(response, replaced ?? this.#apply(call, url, body.length))
  }

  #respond (response, { status, body }) {
    response.writeHead(status, { 'content-type': 'application/json' }).end(body === undefined ? '' : JSON.stringify(body))
  }

  #apply ({ client, method, kind, name, part, given }, url, length) {
    const held = this.find(kind, name)
    const toWire = (object) => this.#show(client, object)
    if (length > 1_048_576) return { status: 413 }
    const expected = given?.metadata?.revision ?? (url.searchParams.has('revision') ? Number(url.searchParams.get('revision')) : undefined)
    const isStale = held !== undefined && expected !== undefined && expected !== held.revision
    switch (method) {
      case 'GET': {
        if (name === undefined) {
          const items = [...this.#objects.values()].filter((object) => object.kind === kind).map(toWire)
          return { status: 200, body: { items, more: false, at: this.revision } }
        }
        return held === undefined ? { status: 404 } : { status: 200, body: toWire(held) }
      }
      case 'POST':
        if (held !== undefined) return { status: 409, body: toWire(held) }
        return { status: 201, body: toWire(this.#change({ kind, name, spec: given.spec })) }
      case 'PUT':
        if (held === undefined) return { status: 404 }
        if (isStale) return { status: 409, body: toWire(held) }
        return { status: 200, body: toWire(part === 'status' ? this.#change({ ...held, status: given.status }) : this.#change({ ...held, spec: given.spec })) }
      case 'DELETE':
        if (held === undefined) return { status: 404 }
        if (isStale) return { status: 409, body: toWire(held) }
        this.remove(kind, name)
        return { status: 200, body: toWire(held) }
      default: return { status: 405 }
    }
  }

  async #watch ({ client, kind, watch, response }, waitMs) {
    const after = Number(watch)
    const events = () => this.#history.filter(({ object }) => object.kind === kind && object.revision > after)
    const until = performance.now() + waitMs
    const waiting = { client, isCut: false, wake: () => {}, cut: () => {} }
    waiting.cut = () => {
      waiting.isCut = true
      waiting.wake()
    }
    this.#watches.add(waiting)
    response.once('close', () => waiting.wake())
    while (events().length === 0 && performance.now() < until && !waiting.isCut && !response.destroyed) {
      await new Promise((resolve) => {
        const timer = setTimeout(resolve, Math.max(1, until - performance.now()))
        waiting.wake = () => {
          clearTimeout(timer)
          resolve()
        }
      })
    }
    this.#watches.delete(waiting)
    if (waiting.isCut) response.destroy()
    else this.#respond(response, { status: 200, body: { events: events().map(({ object, deleted }) => ({ object: this.#show(client, object), deleted })), at: this.revision } })
  }
}

function toWire ({ name, revision, spec, status }) {
  return { metadata: { name, revision, created: revision, finalizers: [], deleteMarked: false }, spec, status: status ?? null }
}

/** The platform's API for duties: accepts all calls. */
export async function openDuties (host, onCall = () => {}) {
  const server = createServer((request, response) => {
    readAll(request).then((body) => {
      onCall({ path: request.url, headers: request.headers, body: JSON.parse(body.toString() || 'null') })
      response.end('{}')
    })
  })
  await listen(server, host, 0)
  return { address: `${host}:${server.address().port}`, close: () => server.close() }
}

/** An engine: answers by a given function, and keeps its entry in the registry. */
export class Engine {
  #server
  #timer

  /** @param options id, service, zone, slots, models, store, and `onRun` for requests that run */
  constructor (options) {
    this.options = { slots: 12, models: [], version: 'v1', state: 'ready', ...options }
    this.born = Date.now()
    this.sequence = 0
    this.orders = 0
    this.versions = new Map(this.options.models.map((model) => [model, 1]))
    this.running = new Set()
  }

  async start (host) {
    this.#server = createServer((request, response) => {
      this.#handle(request, response).catch(() => response.destroy())
    })
    this.#server.keepAliveTimeout = 20_000
    await listen(this.#server, host, 0)
    this.address = `${host}:${this.#server.address().port}`
    this.register()
  }

  register () {
    const write = () => {
      this.sequence += 1
      const { id, service, zone, slots, store, version, state, models } = this.options
      store.put('servers', id, { service, address: this.address, zone, version, slots, state, coldLeftMs: 0, sequence: 1, born: this.born, models: models.map((name) => ({ name, version: this.versions.get(name), adapters: [] })) })
    }
    write()
    this.#timer = setInterval(write, 1_200)
  }

  /** Ends the heartbeats, and removes the entry: the engine leaves without reporting that it drains. */
  unregister () {
    clearInterval(this.#timer)
    this.options.store.remove('servers', this.options.id)
  }

  close () {
    clearInterval(this.#timer)
    this.#server?.closeAllConnections()
    this.#server?.close()
  }

  async #handle (request, response) {
    const body = await readAll(request)
    const { id, onRun, slots } = this.options
    const requestId = request.headers['x-cyclamenthread-attempt-id']
    const expected = request.headers['x-cyclamenthread-expect-instance']
    const own = requestId === undefined ? {} : { 'X-Cyclamenthread-Attempt-Id': requestId }
    if (expected !== undefined && expected !== id) {
      response.writeHead(421, { ...own, 'X-Cyclamenthread-Not-Executed': '1' }).end()
      return
    }
    if (request.url === '/-/report') {
      const models = [...this.versions].map(([name, version]) => ({ name, version, adapters: [] }))
      response.end(JSON.stringify({ phase: 'both', models, busy: false, sequence: this.orders, queuedCount: 0, activeCount: this.running.size, kvUsed: 0, kvTotal: 90_000, handles: 0, born: this.born }))
      return
    }
    if (request.url === '/-/order') {
      const order = JSON.parse(body.toString())
      this.options.onOrder?.(order)
      if (order.expect !== undefined && order.expect !== this.orders) response.writeHead(409).end()
      else if (this.versions.get(order.model) === order.version) response.writeHead(200).end()
      else {
        this.orders += 1
        this.versions.set(order.model, order.version)
        response.writeHead(202).end()
      }
      return
    }
    if (this.running.size >= slots) {
      response.writeHead(503, { ...own, 'X-Cyclamenthread-Not-Executed': '1' }).end()
      return
    }
    this.running.add(response)
    try {
      await onRun({ engine: this, id: requestId, method: request.method, path: request.url, headers: request.headers, body, request, response, own })
    } finally {
      this.running.delete(response)
    }
  }
}

/** Answers a plain request as a sound engine does. */
export function answer ({ id, response, own }, status = 200, text = JSON.stringify({ done: id })) {
  response.writeHead(status, { ...own, 'X-Cyclamenthread-Server-Seal': `seal.${id}`, 'content-type': 'application/json' }).end(text)
}

/** A TCP proxy with its own address. */
export class Proxy {
  #sockets = new Set()
  #server
  isOpen = true

  /** @param target `host:port` */
  async listen (host, target) {
    const [targetHost, targetPort] = target.split(':')
    this.#server = createTcpServer((client) => {
      const server = connect({ host: targetHost, port: Number(targetPort) })
      for (const [from, to] of [[client, server], [server, client]]) {
        this.#sockets.add(from)
        from.on('data', (bytes) => {
          if (this.isOpen) to.write(bytes)
        })
        from.on('error', () => from.destroy())
        from.on('close', () => {
          this.#sockets.delete(from)
          if (this.isOpen) to.destroy()
        })
      }
    })
    await listen(this.#server, host, 0)
    this.address = `${host}:${this.#server.address().port}`
    return this.address
  }

  reset () {
    for (const socket of this.#sockets) socket.resetAndDestroy()
  }

  close () {
    for (const socket of this.#sockets) socket.destroy()
    this.#server?.close()
  }
}

/** A small deployment: a store, the platform's API, engines, and hosts as separate processes. */
export class Deployment {
  store = new Store()
  engines = []
  hosts = []
  #next = 10
  #proxies = []

  /** @param record record of the case */
  constructor (record) {
    this.record = record
    // A network of its own, so that scripts can run beside others.
    this.network = `127.${20 + Math.floor(Math.random() * 200)}.${1 + Math.floor(Math.random() * 250)}`
    this.folder = mkdtempSync(join(tmpdir(), 'review-'))
  }

  ip () {
    this.#next += 1
    return `${this.network}.${this.#next}`
  }

  async start (hosts, { bounds = {}, onDuty } = {}) {
    this.duties = await openDuties(this.ip(), onDuty)
    const zones = Object.keys(ZONES)
    for (let index = 0; index < hosts; index += 1) {
      const zone = zones[index % zones.length]
      const host = { id: `edge-${zone}-${1 + Math.floor(index / zones.length)}`, zone, ip: this.ip(), starts: 0 }
      host.storeAddress = await this.store.listen(this.ip(), 0, host.id)
      host.front = `${host.ip}:8405`
      host.ready = `${host.ip}:8406`
      host.settings = {
        nodeName: host.id,
        role: 'entry',
        machineClass: 'edge',
        serves: ['edge', 'registry'],
        ip: host.ip,
        zone,
        region: ZONES[zone],
        zones: ZONES,
        listen: { front: host.front, ready: host.ready, directory: `${host.ip}:8404` },
        portRange: [7660, 7675],
        firstStart: true,
        limits: { cpuShare: 0.675, cores: 1, memoryMb: 350, maxFds: 4100, linkMbps: 1000, diskMb: 0 },
        heartbeatMs: 1200,
        bounds: { contactMs: 4000, ackMs: 5000, drainMs: 2500, graceS: 8, configMs: 2500, leaseMs: 3000, usageWindowS: 5, usageLateS: 10, cancelMs: 3000, settleMs: 1000, ttl_max_s: 5, ...bounds },
        platform: { address: host.storeAddress, form: 'objects', writesPerS: 400, readsPerS: 2000, historyS: 20, valueBytes: 1048576 },
        cloudApi: { address: this.duties.address, perS: 50, duties: ['metering', 'autoscale'], dutyPerS: 50 }
      }
      this.hosts.push(host)
    }
    for (const host of this.hosts) this.startHost(host)
  }

  /** Starts a host with the command of the deploy file. */
  startHost (host) {
    const path = join(this.folder, `${host.id}.json`)
    writeFileSync(path, JSON.stringify(host.settings))
    const [, run] = /\[roles\.entry\]\s+run = "([^"]+)"/.exec(readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8'))
    const [program, ...words] = run.split(' ')
    host.starts += 1
    const child = spawn(program === 'node' ? process.execPath : program, words, {
      cwd: ROOT,
      env: { PATH: process.env.PATH ?? '', UV_USE_IO_URING: '0', CYCLAMENTHREAD_NODE_FILE: path, CYCLAMENTHREAD_METRICS_PORT: '9464' },
      stdio: ['ignore', 'pipe', 'pipe']
    })
    host.child = child
    host.log = []
    host.errors = ''
    host.ended = new Promise((resolve) => child.once('exit', (code, signal) => {
      if (host.child === child) host.child = undefined
      host.end = { code, signal }
      this.record.add(`process ${host.id} ended: code ${code}, signal ${signal}`)
      resolve(host.end)
    }))
    let rest = ''
    child.stdout.on('data', (bytes) => {
      const lines = (rest + bytes.toString()).split('\n')
      rest = lines.pop()
      for (const line of lines) {
        host.log.push(line)
        host.onLine?.(line)
      }
    })
    child.stderr.on('data', (bytes) => {
      host.errors += bytes.toString()
    })
    this.record.add(`process ${host.id} started`)
  }

  signal (host, name) {
    this.record.add(`${name} to ${host.id}`)
    host.child?.kill(name)
  }

  async addEngine (options) {
    const engine = new Engine({ store: this.store, ...options })
    await engine.start(this.ip())
    this.engines.push(engine)
    return engine
  }

  async proxy (target) {
    const proxy = new Proxy()
    await proxy.listen(this.ip(), target)
    this.#proxies.push(proxy)
    return proxy
  }

  /** Waits until all hosts are ready; returns whether they are. */
  async ready (timeoutMs = 15_000) {
    const until = performance.now() + timeoutMs
    while (performance.now() < until) {
      const states = await Promise.all(this.hosts.map(async ({ ready }) => (await send(ready, 'GET', '/-/readyz', {}, undefined, 1_000))?.status === 200))
      if (states.every(Boolean)) return true
      await sleep(100)
    }
    return false
  }

  async stop () {
    for (const host of this.hosts) host.child?.kill('SIGKILL')
    await Promise.all(this.hosts.map(({ ended }) => ended))
    for (const engine of this.engines) engine.close()
    for (const proxy of this.#proxies) proxy.close()
    this.store.close()
    this.duties?.close()
    rmSync(this.folder, { recursive: true, force: true })
  }
}

/** Sends a request on a new connection; undefined if there is no whole answer in time. */
export async function send (address, method, path, headers = {}, body = undefined, timeoutMs = 3_000) {
  const [host, port] = address.split(':')
  return await new Promise((resolve) => {
    const request = sendRequest({ host, port: Number(port), method, path, headers: { ...headers, ...(body === undefined ? {} : { 'content-length': Buffer.byteLength(body) }) }, agent: false }, (response) => {
      readAll(response).then((bytes) => finish({ status: response.statusCode, headers: response.headers, body: bytes }), () => finish(undefined))
    })
    const timer = setTimeout(() => finish(undefined), timeoutMs)
    const finish = (value) => {
      clearTimeout(timer)
      request.destroy()
      resolve(value)
    }
    request.on('error', () => finish(undefined))
    request.end(body)
  })
}

/** A configuration with a plain route of each kind and one for batch jobs. */
export function configuration ({ version = 1, services = ['desk', 'models'], models = ['m0'], tenants = [{ name: 'alpha', apiKeys: ['key-alpha'], priority: 1 }], limits = {}, routes = [], serviceFields = {}, route = {} } = {}) {
  const common = { host: ROUTE_HOST, timeoutMs: 2_000, goalMs: 200, priority: 1, public: false, ...route }
  return {
    version,
    routes: [
      { ...common, name: 'free', pathPrefix: '/bookings/', type: 'idempotent', service: services[0], maxAttempts: 3 },
      { ...common, name: 'once', pathPrefix: '/payments/', type: 'non_idempotent', service: services[0], maxAttempts: 2 },
      { ...common, name: 'drafts', pathPrefix: '/drafts/', type: 'rollout', service: services[1], maxAttempts: 3, timeoutMs: 10_000, goalMs: 400, dueMs: 7_500, itemTtlS: 40, sticky: true, singleVersion: false },
      ...routes.map((one) => ({ ...common, ...one }))
    ],
    services: [
      { name: services[0], healthPath: '/healthz', maxConns: 110, ...serviceFields },
      { name: services[1], healthPath: '/healthz', maxConns: 160, engine: { models: models.map((name) => ({ name })) }, ...serviceFields }
    ],
    limits: { maxHeaderBytes: 16_384, maxBodyBytes: 33_554_432, headerTimeoutMs: 5_000, idleTimeoutMs: 15_000, ...limits },
    tenants
  }
}

/** Runs a case and exits with its code; all processes that it started have ended by then. */
export async function runCase (recordPath, play) {
  const record = new Record(recordPath)
  const deployment = new Deployment(record)
  let code = Exit.NotRun
  // Also if this script itself fails or is stopped.
  process.on('exit', () => deployment.hosts.forEach(({ child }) => child?.kill('SIGKILL')))
  for (const name of ['SIGTERM', 'SIGINT', 'SIGHUP']) process.on(name, () => process.exit(Exit.NotRun))
  const limit = setTimeout(() => {
    record.add('the case took too long')
    deployment.stop().finally(() => process.exit(Exit.NotRun))
  }, 110_000)
  try {
    record.add(`disruption: ${isTroubled ? 'yes' : 'no'}`)
    code = await play(deployment, record)
  } catch (error) {
    record.add(`the case could not run: ${error?.stack ?? error}`)
  }
  clearTimeout(limit)
  await deployment.stop()
  record.add(`exit ${code}`)
  process.exit(code)
}
