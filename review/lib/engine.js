import { createServer } from 'node:http'
import { listen, sleep } from './network.js'

/** What a body without end consists of: 250 KB each 10 ms are 200 Mbit/s. */
const FILLER = 'x'.repeat(1_000)
const POUR_BYTES = 250_000
const POUR_PERIOD_MS = 10

/**
 * An engine of a plain service or of a model service. It registers in the store, runs
 * `slots` requests at once, and rejects those that it has no room for.
 */
export class Engine {
  #server
  #record
  #store
  #active = 0
  #closed = false
  #sockets = new Set()
  id
  service
  zone
  address
  slots
  queue
  workMs
  events
  eventMs
  models
  born = Date.now()
  /** Called before a request is looked at, with the request and its id. */
  onRequest = () => {}
  /** Called with the answer to a request that was rejected, before it is sent. */
  onReject = () => {}
  /** Called with each request that begins to run. */
  onRun = () => {}
  /** Called when a run has ended. */
  onEnd = () => {}
  answers = 0
  /** Whether the engine is in trouble: the body of each stream that it begins goes on until the caller closes. */
  isEndless = false

  constructor ({ id, service, zone, slots = 6, queue = 4, workMs = 36, events = 20, eventMs = 40, models = [], store, record }) {
    Object.assign(this, { id, service, zone, slots, queue, workMs, events, eventMs, models })
    this.#store = store
    this.#record = record
    this.#server = createServer((request, response) => {
      this.#handle(request, response).catch(() => response.destroy())
    })
    this.#server.on('connection', (socket) => {
      this.#sockets.add(socket)
      socket.once('close', () => this.#sockets.delete(socket))
    })
    this.#server.keepAliveTimeout = 60_000
    this.#server.maxRequestsPerSocket = 0
  }

  get active () {
    return this.#active
  }

  async listen (host, port) {
    this.address = await listen(this.#server, host, port)
    return this.address
  }

  /** Writes the engine's entry; `address` is the one at which the hosts reach it. */
  register (state = 'ready', address = this.address) {
    this.#store.put('servers', this.id, {
      service: this.service, address, zone: this.zone, version: 'v1', slots: this.slots, state, coldLeftMs: 0, phase: 'both', models: this.models, sequence: 1, born: this.born
    })
  }

  /** Ends like a process that crashes: resets all connections and refuses new ones. */
  crash () {
    this.#closed = true
    for (const socket of this.#sockets) socket.resetAndDestroy()
    this.#server.close()
  }

  close () {
    this.#closed = true
    this.#server.closeAllConnections()
    this.#server.close()
  }

  async #handle (request, response) {
    const chunks = []
    for await (const chunk of request) chunks.push(chunk)
    const body = Buffer.concat(chunks).toString()
    const id = request.headers['x-cyclamenthread-attempt-id'] ?? ''
    if (request.url === '/-/report') {
      response.end(JSON.stringify({ born: this.born, phase: 'both', models: this.models, busy: false, sequence: 0, queuedCount: 0, activeCount: this.#active, kvUsed: 0, kvTotal: 85643, handles: 0 }))
      return
    }
    if (request.url === '/-/order') {
      response.writeHead(202).end()
      return
    }
    this.onRequest(request, id)
    const expected = request.headers['x-cyclamenthread-expect-instance']
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, { 'x-cyclamenthread-instance-id': this.id }).end()
      return
    }
    if (this.#active >= this.slots + this.queue) {
      this.#reject(id, request, response)
      return
    }
    await this.#run(id, request, body, response)
  }

  #reject (id, request, response) {
    this.answers += 1
    const headers = { 'x-cyclamenthread-not-executed': '1', 'x-cyclamenthread-attempt-id': id, 'content-length': '0' }
    this.#record.write('rejected', { engine: this.id, id })
    response.writeHead(503, headers).end()
    this.onReject({ id, socket: request.socket })
  }

  async #run (id, request, body, response) {
    this.#active += 1
    let finished = false
    this.onRun({ id, engine: this.id, method: request.method, path: request.url, body, headers: request.headers })
    let gone = false
    response.once('close', () => {
      gone = !response.writableFinished
    })
    try {
      const tokens = request.headers['x-cyclamenthread-token-usage']
      if (tokens === undefined) {
        await sleep(this.workMs)
        if (this.#closed || gone) return
        this.answers += 1
        response.writeHead(200, { 'x-cyclamenthread-attempt-id': id, 'x-cyclamenthread-server-seal': `seal.${id}`, 'content-type': 'text/plain' }).end(`done ${id}`)
        finished = true
        return
      }
      const first = Number(request.headers['last-event-id'] ?? 0) + 1
      response.writeHead(200, { 'x-cyclamenthread-attempt-id': id, 'x-cyclamenthread-server-seal': `seal.${id}`, 'content-type': 'text/event-stream', 'x-cyclamenthread-weight-versions': String(this.models[0]?.version ?? 1) })
      response.flushHeaders()
      if (this.isEndless) {
        await this.#pour(response, first, () => this.#closed || gone)
        return
      }
      for (let number = first; number <= this.events; number += 1) {
        await sleep(this.eventMs)
        if (this.#closed || gone) return
        response.write(`id: ${number}\ndata: ${id}.${number}\n\n`)
      }
      response.end()
      finished = true
    } finally {
      this.#active -= 1
      this.onEnd({ id, engine: this.id, finished })
    }
  }

  /** Writes bytes without end, at well under the rate of a machine's link. */
  async #pour (response, first, isOver) {
    for (let number = first; !isOver();) {
      for (let written = 0; written < POUR_BYTES; number += 1) {
        const event = `id: ${number}\ndata: ${FILLER}\n\n`
        written += event.length
        response.write(event)
      }
      await sleep(POUR_PERIOD_MS)
      while (response.writableNeedDrain && !isOver()) await sleep(POUR_PERIOD_MS)
    }
  }
}
