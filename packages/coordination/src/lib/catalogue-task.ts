import { CatalogueProofKind, HostState, isProofValid, laterProof } from '@cyclamenthread/state'
import { CATALOGUE_PREFIX, MAX_WITHDRAWN_KEYS, PeerMessageKind, StorePurpose } from '@cyclamenthread/protocol'
import { deadlineAfter, monotonicNow } from '@cyclamenthread/transport'
import { CatalogueHolder } from './catalogue-holder.js'
import { PeerOrigin, StoreOrigin } from './catalogue-origin.js'
import { KeyWatch } from './key-guard.js'
import { Periodic } from './periodic.js'
import { allRelays, relaysOf } from './relay-placement.js'
import { taskService } from './task.js'
import type { ServiceSchema } from 'moleculer'
import type { CatalogueProof, CatalogueView, Host } from '@cyclamenthread/state'
import type { CheckAnswer, MembershipCarrier, ObjectStore, Revisions } from '@cyclamenthread/protocol'
import type { CatalogueOrigin, MessageSend } from './catalogue-origin.js'
import type { HostSettings } from './host-settings.js'
import type { KeyGuard } from './key-guard.js'
import type { MembershipRider, MemberView, MessagePost } from './member-task.js'

/** Longest a watch waits for a change, in milliseconds. */
const WATCH_MS = 20_000

/** Pause after a failed call of the store, and between two looks whether this host is a relay, in milliseconds. */
const RETRY_MS = 500

/** Time between two checks that the catalogue is current, in milliseconds. */
const CHECK_PERIOD_MS = 1_000

/** Longest a peer may take to answer a check, in milliseconds. */
const CHECK_TIMEOUT_MS = 700

/** Age of the proof at which a host that is no relay reads the store itself, in milliseconds. */
const LAST_RESORT_MS = 3_500

/** A relay reads roster and releases with every so many checks, should a watch have missed them. */
const FULL_CHECK_EVERY = 10

/** A call that ended this much after its deadline tells of a pause of this process, not of the store, in milliseconds. */
const PAUSE_MS = 1_000

/** Hosts that are told at once of a withdrawn key. */
const URGENT_FANOUT = 3

/** The catalogue as the other tasks read it. */
export interface CatalogueSource {
  /** The newest revision known; undefined before the first. */
  current (): CatalogueView | undefined
  onChange (listener: (view: CatalogueView) => void): void
}

/** What the task needs of the others. */
export interface CatalogueTaskParts {
  readonly settings: HostSettings
  readonly store: ObjectStore
  readonly members: MemberView & { spread (fanout: number): void, carry (rider: MembershipRider): void }
  readonly send: MessageSend
  readonly post: MessagePost
}

/**
 * Keeps this host's catalogue current. Two hosts of each region are its relays:
 * they watch the store and announce what is new; the others fetch it from them.
 * Every host asks once a second how far the others are, so that a lost
 * announcement costs a second, and has by that a proof that it is current.
 *
 * Invariants: no revision ever goes down. A proof is only kept when this host
 * knows every revision that it covers.
 */
export class CatalogueTask implements CatalogueSource, KeyGuard {
  readonly #parts: CatalogueTaskParts
  readonly #store: StoreOrigin
  readonly #holder = new CatalogueHolder()
  readonly #keys: KeyWatch
  readonly #checks: Periodic
  readonly #pulling = new Set<string>()
  #proof: CatalogueProof | undefined
  #checkCount = 0
  #stopped = false

  constructor (parts: CatalogueTaskParts) {
    this.#parts = parts
    this.#store = new StoreOrigin(parts.store, parts.settings.storeTimeoutMs)
    this.#keys = new KeyWatch(() => this.#holder.view, () => parts.members.spread(URGENT_FANOUT))
    this.#checks = new Periodic(CHECK_PERIOD_MS, async () => await this.#check())
    this.#holder.onChange((view, before) => {
      if (before !== undefined) this.#keys.compare(before, view)
      this.#announce()
    })
    parts.members.carry({
      outgoing: () => ({ revisions: this.#holder.revisions, withdrawnKeys: this.#keys.take(MAX_WITHDRAWN_KEYS) }),
      incoming: (from, carried) => this.#hear(from, carried)
    })
  }

  /** The broker service that answers other hosts. */
  service (): ServiceSchema {
    return taskService('catalogue', {
      [PeerMessageKind.CheckCatalogue]: async () => this.#answerCheck(),
      [PeerMessageKind.FetchCatalogue]: async () => ({ found: this.#holder.state }),
      [PeerMessageKind.FetchParts]: async (message) => ({
        parts: message.digests.flatMap((digest) => {
          const part = this.#holder.part(digest)
          return part === undefined ? [] : [{ digest, part }]
        })
      }),
      [PeerMessageKind.AnnounceCatalogue]: async (message, meta) => {
        const from = this.#parts.members.find(meta.from)
        if (from !== undefined) this.#follow(from, message.revisions)
        return { accepted: true }
      }
    })
  }

  current (): CatalogueView | undefined {
    return this.#holder.view
  }

  onChange (listener: (view: CatalogueView) => void): void {
    this.#holder.onChange(listener)
  }

  isCurrent (): boolean {
    return isProofValid(this.#proof, monotonicNow())
  }

  isWithdrawn (keyId: string): boolean {
    return this.#keys.isWithdrawn(keyId)
  }

  watchKey (keyId: string, onWithdrawn: () => void): () => void {
    return this.#keys.watchKey(keyId, onWithdrawn)
  }

  async start (): Promise<void> {
    await this.#checks.start()
    if (this.#holder.view === undefined) await this.#checkStore()
    void this.#watch()
  }

  /** Ends the checks and the watch; one that waits for the store is left to its deadline. */
  async stop (): Promise<void> {
    this.#stopped = true
    await this.#checks.stop()
  }

  /** Follows the store while this host is a relay. */
  async #watch (): Promise<void> {
    let after = ''
    while (!this.#stopped) {
      if (!this.#isRelay()) {
        after = ''
        await pause(RETRY_MS)
        continue
      }
      const batch = await this.#parts.store.watch(CATALOGUE_PREFIX, after, { purpose: StorePurpose.Configuration, deadline: deadlineAfter(WATCH_MS) })
      if (!batch.ok) {
        await pause(RETRY_MS)
        continue
      }
      // A watch from "now" on misses what came before it, so the first answer always reads.
      if (after === '' || batch.value.changes.length > 0) await this.#holder.pull(this.#store)
      after = batch.value.next
    }
  }

  /** Looks for anything newer, and for proof that there is nothing. */
  async #check (): Promise<void> {
    const { settings } = this.#parts
    const isRelay = this.#isRelay()
    const sentAt = monotonicNow()
    if (isRelay && await this.#checkStore()) return
    const observedAt = monotonicNow()
    if (await this.#checkPeers(this.#upstream(isRelay))) return
    const prompt = observedAt - sentAt < settings.storeTimeoutMs + PAUSE_MS
    if (isRelay && settings.self.region === settings.storeRegion && prompt && await this.#reachesMajority()) this.#prove({ kind: CatalogueProofKind.StoreDown, at: observedAt })
    if (!isRelay && this.#proofAge() > LAST_RESORT_MS) await this.#checkStore()
  }

  /** Reads the head in the store, and all that it leads to where it is newer. */
  async #checkStore (): Promise<boolean> {
    const sentAt = monotonicNow()
    const head = await this.#store.head()
    if (head === undefined) return false
    this.#checkCount += 1
    const behind = head.revision > this.#holder.revisions.catalogue
    if ((behind || this.#checkCount % FULL_CHECK_EVERY === 0) && !await this.#holder.pull(this.#store)) return false
    this.#prove({ kind: CatalogueProofKind.Checked, at: sentAt })
    return true
  }

  /** Asks the given hosts in turn until one gives a proof that still holds. */
  async #checkPeers (hosts: readonly Host[]): Promise<boolean> {
    for (const host of hosts) {
      const sentAt = monotonicNow()
      const answer = await this.#parts.send(host, { kind: PeerMessageKind.CheckCatalogue }, { deadline: deadlineAfter(CHECK_TIMEOUT_MS) })
      if (!answer.ok) continue
      const { revisions, proof } = answer.value
      if (!this.#holder.covers(revisions)) await this.#holder.pull(this.#peer(host))
      if (proof === undefined || !this.#holder.covers(revisions)) continue
      const received = { kind: proof.kind, at: sentAt - proof.ageMs }
      this.#prove(received)
      if (monotonicNow() - received.at < LAST_RESORT_MS) return true
    }
    return false
  }

  /**
   * Whether most hosts known near the store answer now, dead ones counted. A host
   * that is cut off can't tell that from an outage, and must not call it one.
   */
  async #reachesMajority (): Promise<boolean> {
    const { settings, members, send } = this.#parts
    const near = members.members().map((member) => member.host).filter((host) => host.region === settings.storeRegion)
    const answers = await Promise.all(near.map(async (host) => {
      if (host.id === settings.self.id) return true
      return (await send(host, { kind: PeerMessageKind.CheckCatalogue }, { deadline: deadlineAfter(CHECK_TIMEOUT_MS) })).ok
    }))
    return 2 * answers.filter(Boolean).length > near.length
  }

  #answerCheck (): CheckAnswer {
    const revisions = this.#holder.revisions
    if (this.#proof === undefined) return { revisions }
    return { revisions, proof: { kind: this.#proof.kind, ageMs: this.#proofAge() } }
  }

  /** The hosts that are asked: a relay asks those near the store, any other the relays of its region, each first in turn. */
  #upstream (isRelay: boolean): Host[] {
    const { settings, members } = this.#parts
    const relays = relaysOf(isRelay ? settings.storeRegion : settings.self.region, members.workers())
    const others = relays.filter((host) => host.id !== settings.self.id)
    return this.#checkCount++ % 2 === 0 ? others : others.reverse()
  }

  #isRelay (): boolean {
    const { settings, members } = this.#parts
    return relaysOf(settings.self.region, members.workers()).some((host) => host.id === settings.self.id)
  }

  /** Tells the hosts that fetch from this one that there is something new. */
  #announce (): void {
    if (!this.#isRelay()) return
    const { settings, members, post } = this.#parts
    const { self, storeRegion } = settings
    const local = members.members().filter((member) => member.state !== HostState.Dead && member.host.region === self.region).map((member) => member.host)
    const remote = self.region === storeRegion ? allRelays(members.workers()).filter((host) => host.region !== storeRegion) : []
    for (const host of [...local, ...remote]) {
      if (host.id !== self.id) void post(host, { kind: PeerMessageKind.AnnounceCatalogue, revisions: this.#holder.revisions })
    }
  }

  /** Takes in what came along with a membership message. */
  #hear (from: Host, carried: Pick<MembershipCarrier, 'revisions' | 'withdrawnKeys'>): void {
    if (carried.withdrawnKeys !== undefined) this.#keys.learn(carried.withdrawnKeys)
    if (carried.revisions !== undefined) this.#follow(from, carried.revisions)
  }

  /** Fetches from a host that is further, once at a time. */
  #follow (host: Host, revisions: Revisions): void {
    if (this.#holder.covers(revisions) || this.#pulling.has(host.id)) return
    this.#pulling.add(host.id)
    void this.#holder.pull(this.#peer(host)).finally(() => this.#pulling.delete(host.id))
  }

  #peer (host: Host): CatalogueOrigin {
    return new PeerOrigin(host, this.#parts.send)
  }

  #prove (proof: CatalogueProof): void {
    this.#proof = laterProof(this.#proof, proof)
  }

  #proofAge (): number {
    return this.#proof === undefined ? Infinity : Math.max(0, monotonicNow() - this.#proof.at)
  }
}

async function pause (milliseconds: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, milliseconds))
}
