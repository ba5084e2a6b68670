import { EndpointTable, RouteTable } from '@cyclamenthread/state'
import { monotonicNow } from '@cyclamenthread/transport'
import { LogEvent } from './event-log.js'
import type { Declaration, EndpointEntry, Outcome } from '@cyclamenthread/state'
import type { StoredObject } from '@cyclamenthread/protocol'
import type { EventLog } from './event-log.js'
import type { StoreMirror } from './store-mirror.js'

/** Age from which a copy of the declaration is confirmed before anything is denied because of it, in milliseconds. */
const MAX_DENIAL_AGE_MS = 1_500

/** Time after the store's return in which endpoints whose entries lapsed are back, in milliseconds; one that is missing then is gone. */
const REREGISTRATION_MS = 2_500

/** Turns stored objects into the product's own types; a failure says what is wrong with the object. */
export interface DeploymentDecoder {
  declaration (object: StoredObject): Outcome<Declaration, string>
  endpoint (object: StoredObject): Outcome<EndpointEntry, string>
}

/** What the view is made of. */
export interface DeploymentSources {
  readonly declarations: StoreMirror
  readonly endpoints: StoreMirror
  readonly decoder: DeploymentDecoder
  readonly log: EventLog
}

/**
 * What this host believes of the deployment: the declaration in force and the
 * endpoints that run.
 *
 * Invariants: the declaration's version only goes up; an object that can't be
 * read changes nothing but is logged.
 */
export class DeploymentView {
  readonly board = new EndpointTable()
  readonly #sources: DeploymentSources
  #routeTable: RouteTable | undefined
  #endpointIds = ''
  #entries: readonly EndpointEntry[] = []
  #retentionTimer: NodeJS.Timeout | undefined
  readonly #loggedRejections = new Set<string>()

  constructor (sources: DeploymentSources) {
    this.#sources = sources
    sources.declarations.onChange(() => this.#readDeclarations())
    sources.endpoints.onChange(() => this.#readEndpoints())
  }

  /** The declaration in force; undefined before the first. */
  get routeTable (): RouteTable | undefined {
    return this.#routeTable
  }

  /** Whether requests can be served. */
  get ready (): boolean {
    return this.#routeTable !== undefined && this.#sources.endpoints.loaded
  }

  /** Age of the declaration's last confirmation in milliseconds. */
  get declarationAgeMs (): number {
    return monotonicNow() - this.#sources.declarations.confirmedAt
  }

  /**
   * Confirms the declaration before a denial, unless it was confirmed just now.
   *
   * @returns whether a denial may rest on the declaration in force
   */
  async confirmDeclaration (): Promise<boolean> {
    if (this.declarationAgeMs < MAX_DENIAL_AGE_MS) return true
    return await this.#sources.declarations.refresh()
  }

  #readDeclarations (): void {
    for (const object of this.#sources.declarations.objects()) {
      const decoded = this.#sources.decoder.declaration(object)
      if (!decoded.ok) {
        this.#logRejection(object, decoded.failure)
        continue
      }
      const known = this.#routeTable?.declaration.version ?? -1
      if (decoded.value.version <= known) continue
      this.#routeTable = new RouteTable(decoded.value)
      this.#sources.log.record(LogEvent.DeclarationChanged, { version: decoded.value.version, previous: known, routes: decoded.value.routes.length, workspaces: decoded.value.workspaces.length })
    }
  }

  #readEndpoints (): void {
    const entries: EndpointEntry[] = []
    for (const object of this.#sources.endpoints.objects()) {
      const decoded = this.#sources.decoder.endpoint(object)
      if (decoded.ok) entries.push(decoded.value)
      else this.#logRejection(object, decoded.failure)
    }
    entries.push(...this.#retainedEntries(entries))
    this.#entries = entries
    this.board.update(entries)
    const ids = entries.map((entry) => `${entry.id}:${entry.phase}`).sort().join(' ')
    if (ids !== this.#endpointIds) {
      this.#endpointIds = ids
      this.#sources.log.record(LogEvent.EndpointsChanged, { endpoints: ids.split(' ') })
    }
  }

  /** Endpoints that went missing while the store was away, for as long as they may still come back. */
  #retainedEntries (entries: readonly EndpointEntry[]): EndpointEntry[] {
    const leftMs = this.#sources.endpoints.reconnectedAt + REREGISTRATION_MS - monotonicNow()
    if (leftMs <= 0) return []
    const ids = new Set(entries.map((entry) => entry.id))
    const missing = this.#entries.filter((entry) => !ids.has(entry.id))
    clearTimeout(this.#retentionTimer)
    if (missing.length > 0) this.#retentionTimer = setTimeout(() => this.#readEndpoints(), leftMs + 1).unref()
    return missing
  }

  #logRejection (object: StoredObject, detail: string): void {
    const name = `${object.key}@${object.version}`
    if (this.#loggedRejections.has(name)) return
    this.#loggedRejections.add(name)
    this.#sources.log.record(LogEvent.EntryRejected, { key: object.key, version: object.version, detail })
  }
}
