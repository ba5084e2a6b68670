import { CatalogueProofKind, HostState, isProofValid, laterProof } from '@cyclamenthread/state'
import { CATALOGUE_PREFIX, MAX_WITHDRAWN_KEYS, PeerMessageKind, StorePurpose } from '@cyclamenthread/protocol'
import { deadlineAfter, suspendAwareNow } from '@cyclamenthread/transport'
import { CatalogueReplica } from './catalogue-replica.js'
import { PeerOrigin, StoreOrigin } from './catalogue-origin.js'
import { KeyWithdrawalTracker } from './key-guard.js'
import { Periodic } from './periodic.js'
import { allRelays, relaysOf } from './relay-placement.js'
import { taskService } from './task.js'
import type { ServiceSchema } from 'moleculer'
import type { CatalogueProof, CatalogueView, Host } from '@cyclamenthread/state'
import type { CatalogueStatus, MembershipEnvelope, ObjectStore, Revisions } from '@cyclamenthread/protocol'
import type { CatalogueOrigin, SendMessage } from './catalogue-origin.js'
import type { HostSettings } from './host-settings.js'
import type { KeyGuard } from './key-guard.js'
import type { MembershipPiggyback, MemberView, PostMessage } from './member-task.js'

/** Longest time one watch call waits for a change, in milliseconds. */
const WATCH_TIMEOUT_MS = 20_000

/** Delay after a failed store call, and between two checks whether this host is a relay, in milliseconds. */
const RETRY_DELAY_MS = 500

/** Time between two checks that the catalogue is current, in milliseconds. */
const CHECK_PERIOD_MS = 1_000

/** Longest wait for a peer's answer to a check, in milliseconds. */
const CHECK_TIMEOUT_MS = 700

/** Age of the proof above which a host that is not a relay reads the store itself, in milliseconds. */
const STORE_FALLBACK_AGE_MS = 3_500

/** A relay reads the roster and the releases at every such check, in case a watch missed a change. */
const FULL_CHECK_INTERVAL = 10

/** A call that ends this long after its deadline means that this process was paused, not that the store is down, in milliseconds. */
const PROCESS_PAUSE_MS = 1_000

/** Number of hosts that are sent a key withdrawal at once. */
const WITHDRAWAL_FANOUT = 3

/** Access to the catalogue for other tasks. */
export interface CatalogueSource {
  /** Returns the newest known catalogue; undefined before the first. */
  current (): CatalogueView | undefined
  onChange (listener: (view: CatalogueView) => void): void
}

/** Dependencies of the catalogue task. */
export interface CatalogueTaskContext {
  readonly settings: HostSettings
  readonly store: ObjectStore
  readonly members: MemberView & { gossipNow (fanout: number): void, setPiggyback (piggyback: MembershipPiggyback): void }
  readonly send: SendMessage
  readonly post: PostMessage
}

/**
 * Keeps this host's catalogue current. Two hosts of each region are its relays:
 * they watch the store and announce changes, and the other hosts fetch them from
 * the relays. Every host also compares its revisions with its upstream hosts once
 * a second: a lost announcement delays a change by at most a second, and the
 * answer proves that this host is current.
 *
 * Invariants: no revision ever decreases; a proof is kept only if this host has
 * every revision that the proof covers.
 */
export class CatalogueTask implements CatalogueSource, KeyGuard {
  readonly #context: CatalogueTaskContext
  readonly #storeOrigin: StoreOrigin
  readonly #replica = new CatalogueReplica()
  readonly #withdrawals: KeyWithdrawalTracker
  readonly #checkLoop: Periodic
  readonly #pulling = new Set<string>()
  #proof: CatalogueProof | undefined
  #checkCount = 0
  #stopped = false

  constructor (context: CatalogueTaskContext) {
    this.#context = context
    this.#storeOrigin = new StoreOrigin(context.store, context.settings.storeTimeoutMs)
    this.#withdrawals = new KeyWithdrawalTracker(() => this.#replica.view, () => context.members.gossipNow(WITHDRAWAL_FANOUT))
    this.#checkLoop = new Periodic(CHECK_PERIOD_MS, async () => await this.#checkCurrent())
    this.#replica.onChange((view, before) => {
      if (before !== undefined) this.#withdrawals.applyCatalogue(before, view)
      this.#announceRevisions()
    })
    context.members.setPiggyback({
      outgoing: () => ({ revisions: this.#replica.revisions, withdrawnKeys: this.#withdrawals.takeForMessage(MAX_WITHDRAWN_KEYS) }),
      incoming: (from, carried) => this.#receivePiggyback(from, carried)
    })
  }

  /** Returns the broker service that answers other hosts. */
  service (): ServiceSchema {
    return taskService('catalogue', {
      [PeerMessageKind.ReadCatalogueStatus]: async () => this.#answerCheck(),
      [PeerMessageKind.FetchCatalogue]: async () => ({ found: this.#replica.state }),
      [PeerMessageKind.FetchCatalogueParts]: async (message) => ({
        parts: message.digests.flatMap((digest) => {
          const part = this.#replica.findPart(digest)
          return part === undefined ? [] : [{ digest, part }]
        })
      }),
      [PeerMessageKind.AnnounceCatalogue]: async (message, meta) => {
        const from = this.#context.members.find(meta.from)
        if (from !== undefined) this.#pullIfNewer(from, message.revisions)
        return { accepted: true }
      }
    })
  }

  current (): CatalogueView | undefined {
    return this.#replica.view
  }

  onChange (listener: (view: CatalogueView) => void): void {
    this.#replica.onChange(listener)
  }

  isCurrent (): boolean {
    return isProofValid(this.#proof, suspendAwareNow())
  }

  isWithdrawn (keyId: string): boolean {
    return this.#withdrawals.isWithdrawn(keyId)
  }

  watchKey (keyId: string, onWithdrawn: () => void): () => void {
    return this.#withdrawals.watchKey(keyId, onWithdrawn)
  }

  async start (): Promise<void> {
    await this.#checkLoop.start()
    if (this.#replica.view === undefined) await this.#checkStore()
    void this.#watchStore()
  }

  /** Stops the checks and the watch; a watch call in progress runs until its deadline. */
  async stop (): Promise<void> {
    this.#stopped = true
    await this.#checkLoop.stop()
  }

  /** Watches the store while this host is a relay. */
  async #watchStore (): Promise<void> {
    let after = ''
    while (!this.#stopped) {
      if (!this.#isRelay()) {
        after = ''
        await sleep(RETRY_DELAY_MS)
        continue
      }
      const batch = await this.#context.store.watch(CATALOGUE_PREFIX, after, { purpose: StorePurpose.Configuration, deadline: deadlineAfter(WATCH_TIMEOUT_MS) })
      if (!batch.ok) {
        await sleep(RETRY_DELAY_MS)
        continue
      }
      // A watch that starts at the current position misses earlier changes, so the first answer always triggers a read.
      if (after === '' || batch.value.changes.length > 0) await this.#replica.pull(this.#storeOrigin)
      after = batch.value.next
    }
  }

  /** Fetches anything newer, or obtains proof that there is nothing newer. */
  async #checkCurrent (): Promise<void> {
    const { settings } = this.#context
    const isRelay = this.#isRelay()
    const sentAt = suspendAwareNow()
    if (isRelay && await this.#checkStore()) return
    const observedAt = suspendAwareNow()
    if (await this.#checkPeers(this.#upstreamHosts(isRelay))) return
    const endedInTime = observedAt - sentAt < settings.storeTimeoutMs + PROCESS_PAUSE_MS
    if (isRelay && settings.self.region === settings.storeRegion && endedInTime && await this.#reachesMajority()) this.#recordProof({ kind: CatalogueProofKind.StoreDown, at: observedAt })
    if (!isRelay && this.#proofAgeMs() > STORE_FALLBACK_AGE_MS) await this.#checkStore()
  }

  /** Reads the head from the store, and everything else if the head is newer or a full check is due. */
  async #checkStore (): Promise<boolean> {
    const sentAt = suspendAwareNow()
    const head = await this.#storeOrigin.fetchHead()
    if (head === undefined) return false
    this.#checkCount += 1
    const isBehind = head.revision > this.#replica.revisions.catalogue
    if ((isBehind || this.#checkCount % FULL_CHECK_INTERVAL === 0) && !await this.#replica.pull(this.#storeOrigin)) return false
    this.#recordProof({ kind: CatalogueProofKind.Checked, at: sentAt })
    return true
  }

  /** Asks the given hosts in turn until one returns a proof that is recent enough. */
  async #checkPeers (hosts: readonly Host[]): Promise<boolean> {
    for (const host of hosts) {
      const sentAt = suspendAwareNow()
      const answer = await this.#context.send(host, { kind: PeerMessageKind.ReadCatalogueStatus }, { deadline: deadlineAfter(CHECK_TIMEOUT_MS) })
      if (!answer.ok) continue
      const { revisions, proof } = answer.value
      if (!this.#replica.covers(revisions)) await this.#replica.pull(this.#peerOrigin(host))
      if (proof === undefined || !this.#replica.covers(revisions)) continue
      const received = { kind: proof.kind, at: sentAt - proof.ageMs }
      this.#recordProof(received)
      if (suspendAwareNow() - received.at < STORE_FALLBACK_AGE_MS) return true
    }
    return false
  }

  /**
   * Whether a majority of the known hosts in the store's region answers now; dead
   * hosts count as members. A partitioned host can't distinguish the partition
   * from an outage of the store, and must not report an outage.
   */
  async #reachesMajority (): Promise<boolean> {
    const { settings, members, send } = this.#context
    const storeRegionHosts = members.members().map((member) => member.host).filter((host) => host.region === settings.storeRegion)
    const answers = await Promise.all(storeRegionHosts.map(async (host) => {
      if (host.id === settings.self.id) return true
      return (await send(host, { kind: PeerMessageKind.ReadCatalogueStatus }, { deadline: deadlineAfter(CHECK_TIMEOUT_MS) })).ok
    }))
    return 2 * answers.filter(Boolean).length > storeRegionHosts.length
  }

  #answerCheck (): CatalogueStatus {
    const revisions = this.#replica.revisions
    if (this.#proof === undefined) return { revisions }
    return { revisions, proof: { kind: this.#proof.kind, ageMs: this.#proofAgeMs() } }
  }

  /** The hosts to ask: a relay asks the relays of the store's region, other hosts those of their own; the order alternates. */
  #upstreamHosts (isRelay: boolean): Host[] {
    const { settings, members } = this.#context
    const relays = relaysOf(isRelay ? settings.storeRegion : settings.self.region, members.workers())
    const others = relays.filter((host) => host.id !== settings.self.id)
    return this.#checkCount++ % 2 === 0 ? others : others.reverse()
  }

  #isRelay (): boolean {
    const { settings, members } = this.#context
    return relaysOf(settings.self.region, members.workers()).some((host) => host.id === settings.self.id)
  }

  /** Sends the new revisions to the hosts that fetch from this one. */
  #announceRevisions (): void {
    if (!this.#isRelay()) return
    const { settings, members, post } = this.#context
    const { self, storeRegion } = settings
    const local = members.members().filter((member) => member.state !== HostState.Dead && member.host.region === self.region).map((member) => member.host)
    const remote = self.region === storeRegion ? allRelays(members.workers()).filter((host) => host.region !== storeRegion) : []
    for (const host of [...local, ...remote]) {
      if (host.id !== self.id) void post(host, { kind: PeerMessageKind.AnnounceCatalogue, revisions: this.#replica.revisions })
    }
  }

  /** Processes the revisions and withdrawals piggybacked on a membership message. */
  #receivePiggyback (from: Host, carried: Pick<MembershipEnvelope, 'revisions' | 'withdrawnKeys'>): void {
    if (carried.withdrawnKeys !== undefined) this.#withdrawals.learnFromPeer(carried.withdrawnKeys)
    if (carried.revisions !== undefined) this.#pullIfNewer(from, carried.revisions)
  }

  /** Fetches from a host that has newer revisions, with at most one fetch per host at a time. */
  #pullIfNewer (host: Host, revisions: Revisions): void {
    if (this.#replica.covers(revisions) || this.#pulling.has(host.id)) return
    this.#pulling.add(host.id)
    void this.#replica.pull(this.#peerOrigin(host)).finally(() => this.#pulling.delete(host.id))
  }

  #peerOrigin (host: Host): CatalogueOrigin {
    return new PeerOrigin(host, this.#context.send)
  }

  #recordProof (proof: CatalogueProof): void {
    this.#proof = laterProof(this.#proof, proof)
  }

  #proofAgeMs (): number {
    return this.#proof === undefined ? Infinity : Math.max(0, suspendAwareNow() - this.#proof.at)
  }
}

async function sleep (milliseconds: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, milliseconds))
}
