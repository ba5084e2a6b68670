import { createServer } from 'node:http'
import { listen } from './network.js'

/** Number of changes that watches can continue from. */
const MAX_HISTORY = 2_000

/** The platform's metadata store, as far as the service uses it, and the duties' API on the same address. */
export class Store {
  #objects = new Map()
  #history = []
  #oldest = 0
  #revision = 10
  #watches = new Set()
  #onDuty
  #servers = []

  /** @param onDuty called with each call of a duty */
  constructor (onDuty = () => {}) {
    this.#onDuty = onDuty
  }

  /**
   * Opens an address of the store. A machine behind a proxy reaches engines at addresses of its
   * own: `view` maps the engines' entries that are read at this address.
   */
  async listen (host, view = (name, spec) => spec) {
    const server = createServer((request, response) => {
      this.#handle(request, response, view).catch(() => response.destroy())
    })
    server.keepAliveTimeout = 60_000
    this.#servers.push(server)
    return await listen(server, host)
  }

  close () {
    for (const server of this.#servers) {
      server.closeAllConnections()
      server.close()
    }
  }

  /** Writes an object on behalf of the operator, an engine or a trainer. */
  put (kind, name, spec) {
    const held = this.#objects.get(`${kind}/${name}`)
    if (held !== undefined && JSON.stringify(held.spec) === JSON.stringify(spec)) return held
    return this.#change(kind, name, spec, held?.status ?? null)
  }

  remove (kind, name) {
    const held = this.#objects.get(`${kind}/${name}`)
    if (held === undefined) return
    this.#objects.delete(`${kind}/${name}`)
    this.#revision += 1
    this.#publish({ object: withRevision(held, this.#revision), kind, deleted: true })
  }

  find (kind, name) {
    return this.#objects.get(`${kind}/${name}`)?.spec
  }

  /** Names of the objects of a kind. */
  names (kind) {
    return [...this.#objects.keys()].filter((key) => key.startsWith(`${kind}/`)).map((key) => key.slice(kind.length + 1))
  }

  /** Cuts the watches of a kind that are waiting; returns their number. */
  cutWatches (kind) {
    const waiting = [...this.#watches].filter((watch) => watch.kind === kind)
    for (const watch of waiting) watch.cut()
    return waiting.length
  }

  async #handle (request, response, view) {
    const chunks = []
    for await (const chunk of request) chunks.push(chunk)
    const text = Buffer.concat(chunks).toString()
    const url = new URL(request.url, 'http://store')
    if (!url.pathname.startsWith('/-/objects/')) {
      this.#onDuty({ path: url.pathname, headers: request.headers, body: text })
      response.end()
      return
    }
    if (url.searchParams.has('watch')) {
      this.#watch(url, request, response, view)
      return
    }
    const { status, body } = this.#apply(request.method, url, text === '' ? {} : JSON.parse(text), text.length)
    respond(response, status, body?.items === undefined ? body : { ...body, items: body.items.map((object) => viewOf(url, object, view)) })
  }

  #apply (method, url, body, length) {
    const [, , , kind, encoded = '', part = ''] = url.pathname.split('/')
    const name = encoded === '' ? body.metadata?.name ?? '' : decodeURIComponent(encoded)
    const held = this.#objects.get(`${kind}/${name}`)
    if (method === 'GET' && encoded === '') return { status: 200, body: { items: this.#list(kind), more: false, at: this.#revision } }
    if (method === 'GET') return held === undefined ? { status: 404 } : { status: 200, body: held }
    // The pages bound an object's length and name no status for one that is longer.
    if (length > 1_048_576) return { status: 413 }
    if (method === 'POST') return held === undefined ? { status: 201, body: this.#change(kind, name, body.spec, null) } : { status: 409, body: held }
    if (held === undefined) return { status: 404 }
    const expected = body.metadata?.revision ?? (url.searchParams.has('revision') ? Number(url.searchParams.get('revision')) : undefined)
    if (expected !== undefined && expected !== held.metadata.revision) return { status: 409, body: held }
    if (method === 'DELETE') {
      this.remove(kind, name)
      return { status: 200, body: held }
    }
    return { status: 200, body: part === 'status' ? this.#change(kind, name, held.spec, body.status) : this.#change(kind, name, body.spec, held.status) }
  }

  #list (kind) {
    return [...this.#objects].filter(([key]) => key.startsWith(`${kind}/`)).map(([, object]) => object)
  }

  #watch (url, request, response, view) {
    const kind = url.pathname.split('/')[3]
    const after = Number(url.searchParams.get('watch'))
    const answer = () => {
      if (after < this.#oldest) {
        respond(response, 410)
        return true
      }
      const events = this.#history.filter((change) => change.kind === kind && change.object.metadata.revision > after)
      if (events.length === 0) return false
      respond(response, 200, { events: events.map(({ object, deleted }) => ({ object: viewOf(url, object, view), deleted })), at: this.#revision })
      return true
    }
    if (answer()) return
    const done = () => {
      clearTimeout(timer)
      this.#watches.delete(watch)
    }
    const watch = {
      kind,
      wake: () => {
        if (answer()) done()
      },
      cut: () => {
        done()
        request.socket.destroy()
      }
    }
    const timer = setTimeout(() => {
      done()
      respond(response, 200, { events: [], at: this.#revision })
    }, Number(url.searchParams.get('waitMs') ?? 0))
    this.#watches.add(watch)
    response.once('close', done)
  }

  #change (kind, name, spec, status) {
    this.#revision += 1
    const object = { metadata: { name, revision: this.#revision, created: this.#revision, finalizers: [], deleteMarked: false }, spec, status }
    this.#objects.set(`${kind}/${name}`, object)
    this.#publish({ object, kind, deleted: false })
    return object
  }

  #publish (change) {
    this.#history.push(change)
    while (this.#history.length > MAX_HISTORY) this.#oldest = this.#history.shift().object.metadata.revision
    for (const watch of [...this.#watches]) watch.wake()
  }
}

function withRevision (object, revision) {
  return { ...object, metadata: { ...object.metadata, revision } }
}

function viewOf (url, object, view) {
  return url.pathname.split('/')[3] === 'servers' ? { ...object, spec: view(object.metadata.name, object.spec) } : object
}

function respond (response, status, body) {
  response.writeHead(status, { 'content-type': 'application/json' })
  response.end(body === undefined ? '' : JSON.stringify(body))
}
