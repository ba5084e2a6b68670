import { EndpointTable, RouteTable, success } from '@cyclamenthread/state'
import { monotonicNow } from '@cyclamenthread/transport'
import { LogEvent } from './event-log.js'
import type { Declaration, EndpointEntry, Outcome } from '@cyclamenthread/state'
import type { StoredObject } from '@cyclamenthread/protocol'
import type { EventLog } from './event-log.js'
import type { StoreMirror } from './store-mirror.js'

/** Age of the declaration above which it is confirmed with the store before a request is denied because of it, in milliseconds. */
const MAX_DENIAL_AGE_MS = 1_500

/** Time that endpoints have to register again after a store outage, in milliseconds; entries still missing then are removed. */
const REREGISTRATION_MS = 2_500

/** Time that an endpoint may serve before its start shows in the registry, in milliseconds: a heartbeat and a write. */
const REGISTRATION_MS = 1_500

/** Longest time from the write of a registry entry until a host in contact with the store has read it, in milliseconds. */
const MAX_ENTRY_DELAY_MS = 2_500

/** Shortest time between two attempts to confirm the endpoint table, in milliseconds. */
const CONFIRMATION_PERIOD_MS = 500

/** Decodes stored objects; a failure describes what is wrong with the object. */
export interface DeploymentDecoder {
  declaration (object: StoredObject): Outcome<Declaration, string>
  endpoint (object: StoredObject): Outcome<EndpointEntry, string>
}

/** A version of a registry entry, as it was decoded when it was first read. */
interface DecodedEntry {
  readonly version: string
  readonly outcome: Outcome<EndpointEntry, string>
}

/** Sources of the view. */
export interface DeploymentSources {
  readonly declarations: StoreMirror
  readonly endpoints: StoreMirror
  /** Objects whose keys name the failure domains that the operator has evacuated; undefined on platforms without evacuations. */
  readonly evacuations?: StoreMirror | undefined
  readonly decoder: DeploymentDecoder
  readonly log: EventLog
}

/**
 * This host's view of the deployment: the declaration in force and the registered
 * endpoints.
 *
 * Invariants: the declaration's version only increases; an object that can't be
 * decoded is logged and otherwise ignored, except that an evacuation counts whatever its
 * value, since its key names the failure domain. Endpoints are unknown until the
 * evacuations have been read.
 */
export class DeploymentView {
  readonly endpointTable = new EndpointTable()
  readonly #sources: DeploymentSources
  #routeTable: RouteTable | undefined
  #endpointIds = ''
  #entries: readonly EndpointEntry[] = []
  /** Decoded versions of the registry entries, by key: the time for which an endpoint remains cold counts from the first read of a version. */
  #decoded: ReadonlyMap<string, DecodedEntry> = new Map()
  /** Versions of the objects of the evacuations, by failure domain. */
  #evacuations: ReadonlyMap<string, string> = new Map()
  #nextConfirmationAt = -Infinity
  #retentionTimer: NodeJS.Timeout | undefined
  readonly #loggedRejections = new Set<string>()

  constructor (sources: DeploymentSources) {
    this.#sources = sources
    sources.declarations.onChange(() => this.#readDeclarations())
    sources.endpoints.onChange(() => this.#readEndpoints())
    sources.evacuations?.onChange(() => this.#readEvacuations())
    if (sources.evacuations?.loaded === true) this.#readEvacuations()
    if (sources.declarations.loaded) this.#readDeclarations()
    if (sources.endpoints.loaded) this.#readEndpoints()
  }

  /** Routes of the declaration in force; undefined before the first declaration. */
  get routeTable (): RouteTable | undefined {
    return this.#routeTable
  }

  /** Whether a declaration, the list of endpoints and the evacuations are known, so that requests can be served. */
  get ready (): boolean {
    return this.#routeTable !== undefined && this.#sources.endpoints.loaded && this.#knowsEvacuations
  }

  /** Whether the evacuations have been read, if the platform has any. */
  get #knowsEvacuations (): boolean {
    return this.#sources.evacuations?.loaded !== false
  }

  /** Time since the declaration was last known to be current, in milliseconds. */
  get declarationAgeMs (): number {
    return this.#sources.declarations.ageMs
  }

  /** Monotonic milliseconds before which each start of an endpoint shows in the endpoint table. */
  get registeredUntil (): number {
    const { currentAt, reconnectedAt } = this.#sources.endpoints
    return currentAt < reconnectedAt + REREGISTRATION_MS ? -Infinity : currentAt - REGISTRATION_MS
  }

  /**
   * Advances {@link registeredUntil} for texts that wait for it, unless that was tried just now.
   *
   * @param maxAgeMs age of the endpoint table up to which it counts as confirmed, in milliseconds
   */
  confirmEndpoints (maxAgeMs: number): void {
    const now = monotonicNow()
    if (now < Math.max(this.#nextConfirmationAt, this.#sources.endpoints.currentAt + maxAgeMs)) return
    this.#nextConfirmationAt = now + CONFIRMATION_PERIOD_MS
    void this.#sources.endpoints.confirm()
  }

  /**
   * Confirms the endpoint table with the store, unless it was confirmed recently: this
   * host may have stood still or been cut off while endpoints restarted.
   *
   * @param maxAgeMs age up to which the table counts as current, in milliseconds
   * @returns whether the table is current
   */
  async awaitEndpoints (maxAgeMs: number): Promise<boolean> {
    if (this.#sources.endpoints.currentAgeMs <= maxAgeMs) return true
    return await this.#sources.endpoints.confirm()
  }

  /**
   * Confirms the declaration with the store before a denial, unless it was confirmed recently.
   *
   * @returns whether a request may be denied because of the declaration in force
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
      this.endpointTable.setColdBounds(new Map(decoded.value.services.flatMap(({ name, cold }) => cold === undefined ? [] : [[name, cold] as const])))
      this.#sources.log.record(LogEvent.DeclarationChanged, { version: decoded.value.version, previous: known, routes: decoded.value.routes.length, workspaces: decoded.value.workspaces?.length, keys: decoded.value.workspaces?.reduce((sum, { keys }) => sum + keys.length, 0) })
    }
  }

  /** Applies the evacuations; the version of a lifted one is that of its last known object. */
  #readEvacuations (): void {
    const { evacuations, log } = this.#sources
    if (evacuations === undefined) return
    const known = this.#evacuations
    const current = new Map(evacuations.objects().map(({ key, version }) => [key.slice(evacuations.prefix.length), version]))
    this.#evacuations = current
    this.endpointTable.setEvacuatedDomains(new Set(current.keys()), monotonicNow())
    this.#readEndpoints()
    const changes = [
      ...[...current].filter(([domain]) => !known.has(domain)).map(([failureDomain, version]) => ({ failureDomain, version, outcome: 'begun' })),
      ...[...known].filter(([domain]) => !current.has(domain)).map(([failureDomain, version]) => ({ failureDomain, version, outcome: 'lifted' }))
    ]
    for (const change of changes) {
      const endpoints = this.#entries.filter((entry) => entry.failureDomain === change.failureDomain).length
      log.record(LogEvent.DomainEvacuated, { ...change, endpoints, evacuated: [...current.keys()], ageMs: Math.round(evacuations.ageMs) })
    }
  }

  #readEndpoints (): void {
    if (!this.#sources.endpoints.loaded || !this.#knowsEvacuations) return
    const entries: EndpointEntry[] = []
    const decoded = new Map<string, DecodedEntry>()
    for (const object of this.#sources.endpoints.objects()) {
      const known = this.#decoded.get(object.key)
      const current = known?.version === object.version ? known : { version: object.version, outcome: this.#decodeEntry(object) }
      decoded.set(object.key, current)
      if (current.outcome.ok) entries.push(current.outcome.value)
      else this.#logRejection(object, current.outcome.failure)
    }
    this.#decoded = decoded
    entries.push(...this.#retainedEntries(entries))
    this.#entries = entries
    this.endpointTable.update(entries)
    const ids = entries.map((entry) => `${entry.id}:${entry.phase}`).sort().join(' ')
    if (ids !== this.#endpointIds) {
      this.#endpointIds = ids
      this.#sources.log.record(LogEvent.EndpointsChanged, { endpoints: ids.split(' ') })
    }
  }

  #decodeEntry (object: StoredObject): Outcome<EndpointEntry, string> {
    const { decoder, endpoints } = this.#sources
    const decoded = decoder.endpoint(object)
    if (!decoded.ok || decoded.value.coldLeftMs === undefined) return decoded
    const now = monotonicNow()
    const { coldLeftMs } = decoded.value
    // What is read after a store outage may have been written long before.
    const asOf = now < endpoints.reconnectedAt + MAX_ENTRY_DELAY_MS ? -Infinity : now - MAX_ENTRY_DELAY_MS
    return success({ ...decoded.value, cold: { asOf, until: coldLeftMs > 0 ? now + coldLeftMs : -Infinity } })
  }

  /** Returns endpoints whose entries expired during a store outage, for as long as they may register again. */
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
