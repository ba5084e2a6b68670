import * as z from 'zod'
import { catalogueSchema, digest, failure, keySchema, success, unreachable, workspaceSchema } from '@cyclamenthread/state'
import { ExpectationKind, StoreFailure, StorePurpose, WriteStatus } from './object-store.js'
import { CATALOGUE_HEAD, cataloguePartKey } from './store-key.js'
import type { Catalogue, Outcome } from '@cyclamenthread/state'
import type { ObjectStore, StoreCall, StoredObject, WriteResult } from './object-store.js'

/** The head of a catalogue: its revision and the content digests of its parts. */
export const catalogueHeadSchema = z.object({ revision: z.int().positive(), parts: z.array(z.string()) })

/** One immutable part of a catalogue. */
export const cataloguePartSchema = z.object({
  workspaces: z.array(workspaceSchema),
  keys: z.array(keySchema),
  shared: catalogueSchema.pick({ entries: true, pools: true }).optional()
})

export type CatalogueHead = z.infer<typeof catalogueHeadSchema>
export type CataloguePart = z.infer<typeof cataloguePartSchema>

/** A catalogue read from the store. */
export interface StoredCatalogue {
  readonly revision: number
  /** Store version of the head object, used as the condition of the next update. */
  readonly headVersion: string
  readonly catalogue: Catalogue
}

/** Outcome of applying a catalogue. */
export enum ApplyStatus {
  Applied = 'applied',
  /** The catalogue changed after the plan was made. */
  Conflict = 'conflict',
  NotWritten = 'not-written',
  Unknown = 'unknown'
}

/** The result of applying a catalogue, with the revision now in the store if it is known. */
export interface ApplyOutcome {
  readonly status: ApplyStatus
  readonly revision: number | undefined
}

/** Splits a catalogue into one part per workspace with its keys, and one part for everything that is shared. */
function splitCatalogue (catalogue: Catalogue): CataloguePart[] {
  const names = new Set(catalogue.workspaces.map((workspace) => workspace.name))
  // Withdrawn keys are kept after their workspace is deleted: if the workspace is declared again, they must not become valid.
  const orphanedKeys = catalogue.keys.filter((key) => !names.has(key.workspace))
  const shared: CataloguePart = { workspaces: [], keys: orphanedKeys, shared: { entries: catalogue.entries, pools: catalogue.pools } }
  const perWorkspace = catalogue.workspaces.map((workspace): CataloguePart => ({
    workspaces: [workspace],
    keys: catalogue.keys.filter((key) => key.workspace === workspace.name)
  }))
  return [shared, ...perWorkspace]
}

/**
 * Combines parts into a catalogue.
 *
 * @example
 * joinCatalogueParts([shared, desk, training])
 */
export function joinCatalogueParts (parts: readonly CataloguePart[]): Catalogue {
  return {
    workspaces: parts.flatMap((part) => part.workspaces),
    keys: parts.flatMap((part) => part.keys),
    entries: parts.flatMap((part) => part.shared?.entries ?? []),
    pools: parts.flatMap((part) => part.shared?.pools ?? [])
  }
}

/**
 * Stores the catalogue in the object store: immutable, content-addressed parts,
 * and a head object that lists them. The head is replaced by one conditional
 * update, so that a catalogue larger than one stored value still changes atomically.
 */
export class CatalogueStore {
  readonly #store: ObjectStore
  /** Parts that were read, by content digest. They are immutable, so entries never become stale. */
  readonly #partCache = new Map<string, CataloguePart>()

  constructor (store: ObjectStore) {
    this.#store = store
  }

  /** Reads the current revision; undefined before the first catalogue is applied. */
  async read (deadline: number): Promise<Outcome<StoredCatalogue | undefined, StoreFailure>> {
    const call: StoreCall = { purpose: StorePurpose.Configuration, deadline }
    const head = await this.#store.read(CATALOGUE_HEAD, call)
    if (!head.ok) return head
    if (head.value === undefined) return success(undefined)
    return await this.#loadCatalogue(head.value, call)
  }

  /**
   * Replaces the catalogue, on condition that the one the plan was based on is still current.
   *
   * @param catalogue the complete new catalogue
   * @param planned the result of `read` that the plan was based on
   * @param deadline monotonic milliseconds
   * @example
   * await catalogues.apply(next, await catalogues.read(deadline), deadline)
   */
  async apply (catalogue: Catalogue, planned: StoredCatalogue | undefined, deadline: number): Promise<ApplyOutcome> {
    const call: StoreCall = { purpose: StorePurpose.Configuration, deadline }
    const digests: string[] = []
    for (const part of splitCatalogue(catalogue)) {
      const contentDigest = digest(JSON.stringify(part))
      const written = await this.#store.write(cataloguePartKey(contentDigest), part, { kind: ExpectationKind.Absent }, call)
      if (written.status === WriteStatus.NotWritten) return { status: ApplyStatus.NotWritten, revision: planned?.revision }
      // An unknown outcome of a part write is harmless: the head is updated only if the part can be read back.
      if (written.status === WriteStatus.Unknown && !await this.#partExists(contentDigest, call)) return { status: ApplyStatus.NotWritten, revision: planned?.revision }
      digests.push(contentDigest)
    }
    return await this.#updateHead({ revision: (planned?.revision ?? 0) + 1, parts: digests }, planned, call)
  }

  async #updateHead (head: CatalogueHead, planned: StoredCatalogue | undefined, call: StoreCall): Promise<ApplyOutcome> {
    const expectation = planned === undefined
      ? { kind: ExpectationKind.Absent } as const
      : { kind: ExpectationKind.Version, version: planned.headVersion } as const
    const result = await this.#store.write(CATALOGUE_HEAD, head, expectation, call)
    return await this.#resolveHeadWrite(result, head, call)
  }

  async #resolveHeadWrite (result: WriteResult, head: CatalogueHead, call: StoreCall): Promise<ApplyOutcome> {
    switch (result.status) {
      case WriteStatus.Applied: return { status: ApplyStatus.Applied, revision: head.revision }
      case WriteStatus.NotWritten: return { status: ApplyStatus.NotWritten, revision: undefined }
      case WriteStatus.Conflict: return { status: ApplyStatus.Conflict, revision: (await this.#readHead(call))?.revision }
      case WriteStatus.Unknown: return await this.#verifyHeadWrite(head, call)
      default: return unreachable(result)
    }
  }

  /** Determines from the stored head whether a write with an unknown outcome took effect. */
  async #verifyHeadWrite (head: CatalogueHead, call: StoreCall): Promise<ApplyOutcome> {
    const current = await this.#readHead(call)
    if (current === undefined) return { status: ApplyStatus.Unknown, revision: undefined }
    const matches = current.revision === head.revision && current.parts.join() === head.parts.join()
    if (matches) return { status: ApplyStatus.Applied, revision: head.revision }
    // An older head doesn't rule out that the write arrives later.
    const status = current.revision >= head.revision ? ApplyStatus.Conflict : ApplyStatus.Unknown
    return { status, revision: current.revision }
  }

  async #readHead (call: StoreCall): Promise<CatalogueHead | undefined> {
    const head = await this.#store.read(CATALOGUE_HEAD, call)
    if (!head.ok || head.value === undefined) return undefined
    const parsed = catalogueHeadSchema.safeParse(head.value.value)
    return parsed.success ? parsed.data : undefined
  }

  async #partExists (contentDigest: string, call: StoreCall): Promise<boolean> {
    const found = await this.#store.read(cataloguePartKey(contentDigest), call)
    return found.ok && found.value !== undefined
  }

  async #loadCatalogue (object: StoredObject, call: StoreCall): Promise<Outcome<StoredCatalogue, StoreFailure>> {
    const head = catalogueHeadSchema.safeParse(object.value)
    if (!head.success) return failure(StoreFailure.Malformed)
    const parts: CataloguePart[] = []
    for (const contentDigest of head.data.parts) {
      const part = await this.#readPart(contentDigest, call)
      if (!part.ok) return part
      parts.push(part.value)
    }
    return success({ revision: head.data.revision, headVersion: object.version, catalogue: joinCatalogueParts(parts) })
  }

  async #readPart (contentDigest: string, call: StoreCall): Promise<Outcome<CataloguePart, StoreFailure>> {
    const cached = this.#partCache.get(contentDigest)
    if (cached !== undefined) return success(cached)
    const object = await this.#store.read(cataloguePartKey(contentDigest), call)
    if (!object.ok) return object
    const parsed = cataloguePartSchema.safeParse(object.value?.value)
    if (!parsed.success) return failure(StoreFailure.Malformed)
    this.#partCache.set(contentDigest, parsed.data)
    return success(parsed.data)
  }
}
