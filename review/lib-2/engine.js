import { createServer } from 'node:http'
import { sleep } from './time.js'

const ID = 'x-cyclamenthread-attempt-id'
const NOT_RUN = 'X-Cyclamenthread-Not-Executed'

/**
 * Stand-in for an engine, of a plain service or of a model. It registers itself in the
 * store, runs as many requests at once as it has slots, and answers 421 for another id.
 */
export class Engine {
  id
  service
  address = ''
  /** Time of a plain request, and between two events of a stream, in milliseconds. */
  workMs
  /** Requests that it ran, in order. */
  runs = []
  orders = []
  versions = new Map()
  /** Called when a request begins to run. */
  onRun = () => {}
  /** Returns the data of an event. */
  eventData = (id, number) => `${id}.${number}`
  /** Number of events of an item. */
  eventCount = () => 18
  state = 'ready'
  #store
  #zone
  #slots
  #server
  #active = 0
  #busy = false
  #orderCount = 0
  #born = Date.now()
  #beat

  constructor ({ id, service, zone, models = [], slots = 12, workMs = 25 }, store) {
    this.id = id
    this.service = service
    this.workMs = workMs
    this.#zone = zone
    this.#slots = slots
    this.#store = store
    for (const model of models) this.versions.set(model, 1)
    this.#server = createServer((request, response) => {
      this.#handle(request, response).catch(() => response.destroy())
    })
    this.#server.keepAliveTimeout = 15_000
  }

  async listen (ip) {
    await new Promise((resolve) => this.#server.listen(0, ip, resolve))
    this.address = `${ip}:${this.#server.address().port}`
    this.register()
    this.#beat = setInterval(() => this.register(), 1_200)
  }

  register () {
    this.#store.put('servers', this.id, { service: this.service, address: this.address, zone: this.#zone, version: 'v1', slots: this.#slots, state: this.state, coldLeftMs: 0, born: this.#born, sequence: 1, models: this.#models(), spot: false })
  }

  close () {
    clearInterval(this.#beat)
    this.#server.closeAllConnections()
    this.#server.close()
  }

  #models () {
    return [...this.versions].map(([name, version]) => ({ name, version, adapters: [] }))
  }

  async #handle (request, response) {
    const chunks = []
    for await (const chunk of request) chunks.push(chunk)
    const body = Buffer.concat(chunks)
    const id = request.headers[ID]
    const own = id === undefined ? {} : { 'X-Cyclamenthread-Attempt-Id': id }
    const expected = request.headers['x-cyclamenthread-expect-instance']
    if (expected !== undefined && expected !== this.id) return response.writeHead(421, { [NOT_RUN]: '1', ...own }).end()
    if (request.url === '/healthz') return response.writeHead(200, { 'X-Cyclamenthread-Instance-Id': this.id }).end()
    if (request.url === '/-/report') return response.end(JSON.stringify({ phase: 'both', models: this.#models(), busy: this.#busy, sequence: this.#orderCount, born: this.#born, queuedCount: 0, activeCount: this.#active, kvUsed: 0, kvTotal: 90_000, handles: 0 }))
    if (request.url === '/-/order') return this.#takeOrder(JSON.parse(body.toString()), response)
    const model = request.headers['x-cyclamenthread-model']
    if (this.#active >= this.#slots || (model !== undefined && this.#busy)) return response.writeHead(503, { [NOT_RUN]: '1', ...own }).end()
    const run = { id, at: performance.now(), path: request.url, from: Number(request.headers['last-event-id'] ?? 0) }
    this.runs.push(run)
    this.onRun(run, this)
    this.#active += 1
    try {
      if (model === undefined) await this.#answer(id, own, response)
      else await this.#stream(id, model, run.from, own, response)
    } finally {
      this.#active -= 1
    }
  }

  #takeOrder (order, response) {
    this.orders.push(order)
    if (this.#busy || (order.expect !== undefined && order.expect !== this.#orderCount)) return response.writeHead(409).end()
    if (this.versions.get(order.model) === order.version) return response.writeHead(200).end()
    this.#orderCount += 1
    this.#busy = true
    setTimeout(() => {
      this.#busy = false
      this.versions.set(order.model, order.version)
      this.register()
    }, 900)
    response.writeHead(202).end()
  }

  async #answer (id, own, response) {
    await sleep(this.workMs)
    if (response.destroyed) return
    response.writeHead(200, { ...own, 'X-Cyclamenthread-Server-Seal': `seal.${id}`, 'Content-Type': 'text/plain' }).end(`answer to ${id}`.padEnd(800, '.'))
  }

  async #stream (id, model, from, own, response) {
    let version = this.versions.get(model) ?? 1
    response.writeHead(200, { ...own, 'X-Cyclamenthread-Server-Seal': `seal.${id}`, 'X-Cyclamenthread-Weight-Versions': String(version), 'Content-Type': 'text/event-stream' })
    for (let number = from + 1; number <= this.eventCount(id); number += 1) {
      await sleep(this.workMs)
      if (response.destroyed) return
      const now = this.versions.get(model) ?? 1
      const change = now === version ? '' : `x-cyclamenthread-weight-versions: ${now}\n`
      version = now
      response.write(`${change}id: ${number}\ndata: ${this.eventData(id, number)}\n\n`)
    }
    response.end()
  }
}
