import { createServer } from 'node:http'
import { sleep } from './time.js'

/** Time for which changes are kept for watches, in milliseconds. */
const HISTORY_MS = 20_000

/** Time in which the store answers a call, in milliseconds. */
const ANSWER_MS = 4

/**
 * Stand-in for the platform's metadata store: objects by kind and name, conditional
 * writes, lists and watches over one revision counter.
 */
export class Store {
  address = ''
  /** Time in which calls are answered, in milliseconds. */
  answerMs = ANSWER_MS
  /** Largest value of an object, in bytes. */
  valueBytes = 1_048_576
  /** Called with each call; returns 'silent' for one that gets no answer and has no effect. */
  intercept = () => undefined
  #server
  #objects = new Map()
  #history = []
  #revision = 1
  /** Revision up to which changes are no longer kept. */
  #forgotten = 0
  #waiting = new Set()

  constructor () {
    this.#server = createServer((request, response) => {
      this.#handle(request, response).catch(() => response.destroy())
    })
    this.#server.keepAliveTimeout = 60_000
  }

  async listen (ip) {
    await new Promise((resolve) => this.#server.listen(0, ip, resolve))
    this.address = `${ip}:${this.#server.address().port}`
  }

  close () {
    this.#server.closeAllConnections()
    this.#server.close()
  }

  /** Writes an object for an operator, an engine or a trainer. */
  put (kind, name, spec) {
    return this.#change(kind, name, spec, this.#objects.get(`${kind}/${name}`)?.status ?? null)
  }

  /** Removes an object for an operator or an engine. */
  remove (kind, name) {
    const held = this.#objects.get(`${kind}/${name}`)
    if (held === undefined) return
    this.#objects.delete(`${kind}/${name}`)
    this.#revision += 1
    this.#announce({ object: { ...held, revision: this.#revision }, deleted: true })
  }

  find (kind, name) {
    return this.#objects.get(`${kind}/${name}`)?.spec
  }

  /** All objects of a kind. */
  all (kind) {
    return [...this.#objects.values()].filter((object) => object.kind === kind)
  }

  async #handle (request, response) {
    const chunks = []
    for await (const chunk of request) chunks.push(chunk)
    const text = Buffer.concat(chunks).toString()
    const url = new URL(request.url, 'http://store')
    const [, , , kind = '', encoded = '', part = ''] = url.pathname.split('/')
    const body = text === '' ? undefined : JSON.parse(text)
    const name = encoded === '' ? body?.metadata?.name ?? '' : decodeURIComponent(encoded)
    const call = { method: request.method, kind, name, body, client: request.socket.remoteAddress, isWatch: url.searchParams.has('watch') }
    if (this.intercept(call) === 'silent') return
    const answer = call.isWatch
      ? await this.#watch(kind, Number(url.searchParams.get('watch')), Number(url.searchParams.get('waitMs') ?? 0))
      : this.#apply(call, { part, isNamed: encoded !== '', size: Buffer.byteLength(text), url })
    await sleep(this.answerMs)
    response.writeHead(answer.status, { 'content-type': 'application/json' }).end(answer.body === undefined ? '' : JSON.stringify(answer.body))
  }

  #apply ({ method, kind, name, body }, { part, isNamed, size, url }) {
    const held = this.#objects.get(`${kind}/${name}`)
    const expected = body?.metadata?.revision ?? (url.searchParams.has('revision') ? Number(url.searchParams.get('revision')) : undefined)
    const isConflict = held !== undefined && expected !== undefined && expected !== held.revision
    if (method !== 'GET' && size > this.valueBytes) return { status: 413 }
    switch (method) {
      case 'GET':
        if (!isNamed) return { status: 200, body: { items: this.all(kind).map(wireObject), more: false, at: this.#revision } }
        return held === undefined ? { status: 404 } : { status: 200, body: wireObject(held) }
      case 'POST':
        return held === undefined ? { status: 201, body: wireObject(this.#change(kind, name, body.spec, null)) } : { status: 409, body: wireObject(held) }
      case 'PUT':
        if (held === undefined) return { status: 404 }
        if (isConflict) return { status: 409, body: wireObject(held) }
        return { status: 200, body: wireObject(part === 'status' ? this.#change(kind, name, held.spec, body.status) : this.#change(kind, name, body.spec, held.status)) }
      case 'DELETE':
        if (held === undefined) return { status: 404 }
        if (isConflict) return { status: 409, body: wireObject(held) }
        this.remove(kind, name)
        return { status: 200, body: wireObject(held) }
      default: return { status: 405 }
    }
  }

  #change (kind, name, spec, status) {
    const held = this.#objects.get(`${kind}/${name}`)
    if (held !== undefined && JSON.stringify([held.spec, held.status]) === JSON.stringify([spec, status])) return held
    this.#revision += 1
    const object = { kind, name, revision: this.#revision, spec, status }
    this.#objects.set(`${kind}/${name}`, object)
    this.#announce({ object, deleted: false })
    return object
  }

  #announce (change) {
    this.#history.push({ ...change, at: performance.now() })
    for (const wake of [...this.#waiting]) wake()
  }

  #forget () {
    while (this.#history[0] !== undefined && this.#history[0].at < performance.now() - HISTORY_MS) this.#forgotten = this.#history.shift().object.revision
  }

  async #watch (kind, after, waitMs) {
    const events = () => this.#history.filter(({ object }) => object.kind === kind && object.revision > after)
    const deadline = performance.now() + waitMs
    while (after >= this.#forgotten && events().length === 0 && performance.now() < deadline) {
      await new Promise((resolve) => {
        const done = () => {
          clearTimeout(timer)
          this.#waiting.delete(done)
          resolve()
        }
        const timer = setTimeout(done, Math.max(1, deadline - performance.now()))
        this.#waiting.add(done)
      })
    }
    this.#forget()
    if (after < this.#forgotten) return { status: 410 }
    return { status: 200, body: { events: events().map(({ object, deleted }) => ({ object: wireObject(object), deleted })), at: this.#revision } }
  }
}

function wireObject ({ name, revision, spec, status }) {
  return { metadata: { name, revision, created: revision, finalizers: [], deleteMarked: false }, spec, status }
}
