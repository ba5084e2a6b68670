import { EMPTY_ROSTER, NO_RELEASES, rosterSchema, weightReleasesSchema } from '@cyclamenthread/state'
import {
  CATALOGUE_HEAD, catalogueHeadSchema, cataloguePartKey, cataloguePartSchema, MAX_PARTS_PER_FETCH, PeerMessageKind, RELEASES_KEY, ROSTER_KEY, StorePurpose
} from '@cyclamenthread/protocol'
import { deadlineAfter } from '@cyclamenthread/transport'
import type { output, ZodType } from 'zod'
import type { Host, Outcome, Roster, WeightReleases } from '@cyclamenthread/state'
import type { CatalogueHead, CataloguePart, ObjectStore, PeerResponse, PeerMessage } from '@cyclamenthread/protocol'
import type { PeerFailure } from '@cyclamenthread/transport'

/** Longest wait for a peer to send a catalogue or parts of it, in milliseconds. */
const PEER_TIMEOUT_MS = 2_000

/** The head of a catalogue, with the two documents that are distributed along with it. */
export interface CatalogueState {
  readonly head: CatalogueHead
  readonly roster: Roster
  readonly releases: WeightReleases
}

/** A source from which a host fetches a newer catalogue. */
export interface CatalogueOrigin {
  /** Fetches the newest state; undefined if there is none or the origin can't be reached. */
  fetchState (): Promise<CatalogueState | undefined>
  /** Fetches the parts with the given digests; parts that are not available are missing from the result. */
  fetchParts (digests: readonly string[]): Promise<ReadonlyMap<string, CataloguePart>>
}

/** Sends a message and waits for its answer. */
export type SendMessage = <Kind extends PeerMessageKind>(host: Host, message: Extract<PeerMessage, { kind: Kind }>, options: { readonly deadline: number }) => Promise<Outcome<PeerResponse<Kind>, PeerFailure>>

/** Fetches the catalogue from the platform's object store. */
export class StoreOrigin implements CatalogueOrigin {
  readonly #store: ObjectStore
  readonly #timeoutMs: number

  constructor (store: ObjectStore, timeoutMs: number) {
    this.#store = store
    this.#timeoutMs = timeoutMs
  }

  async fetchState (): Promise<CatalogueState | undefined> {
    const head = await this.fetchHead()
    if (head === undefined) return undefined
    const roster = await this.#readDocument(ROSTER_KEY, rosterSchema)
    const releases = await this.#readDocument(RELEASES_KEY, weightReleasesSchema)
    return { head, roster: roster ?? EMPTY_ROSTER, releases: releases ?? NO_RELEASES }
  }

  /** Fetches only the head, with a single read. */
  async fetchHead (): Promise<CatalogueHead | undefined> {
    return await this.#readDocument(CATALOGUE_HEAD, catalogueHeadSchema)
  }

  async fetchParts (digests: readonly string[]): Promise<ReadonlyMap<string, CataloguePart>> {
    const parts = new Map<string, CataloguePart>()
    for (const name of digests) {
      const part = await this.#readDocument(cataloguePartKey(name), cataloguePartSchema)
      if (part !== undefined) parts.set(name, part)
    }
    return parts
  }

  async #readDocument<Schema extends ZodType> (key: string, schema: Schema): Promise<output<Schema> | undefined> {
    const found = await this.#store.read(key, { purpose: StorePurpose.Configuration, deadline: deadlineAfter(this.#timeoutMs) })
    return found.ok ? schema.safeParse(found.value?.value).data : undefined
  }
}

/** Fetches the catalogue from another host. */
export class PeerOrigin implements CatalogueOrigin {
  readonly #host: Host
  readonly #send: SendMessage

  constructor (host: Host, send: SendMessage) {
    this.#host = host
    this.#send = send
  }

  async fetchState (): Promise<CatalogueState | undefined> {
    const answer = await this.#send(this.#host, { kind: PeerMessageKind.FetchCatalogue }, { deadline: deadlineAfter(PEER_TIMEOUT_MS) })
    return answer.ok ? answer.value.found : undefined
  }

  async fetchParts (digests: readonly string[]): Promise<ReadonlyMap<string, CataloguePart>> {
    const parts = new Map<string, CataloguePart>()
    for (let from = 0; from < digests.length; from += MAX_PARTS_PER_FETCH) {
      const wanted = digests.slice(from, from + MAX_PARTS_PER_FETCH)
      const answer = await this.#send(this.#host, { kind: PeerMessageKind.FetchCatalogueParts, digests: wanted }, { deadline: deadlineAfter(PEER_TIMEOUT_MS) })
      if (!answer.ok) break
      for (const item of answer.value.parts) parts.set(item.digest, item.part)
    }
    return parts
  }
}
