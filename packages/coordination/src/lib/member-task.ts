import { EventEmitter } from 'node:events'
import { HostState } from '@cyclamenthread/state'
import { PeerMessageKind } from '@cyclamenthread/protocol'
import { deadlineAfter } from '@cyclamenthread/transport'
import { Periodic } from './periodic.js'
import { taskService } from './task.js'
import type { ServiceSchema } from 'moleculer'
import type { Host } from '@cyclamenthread/state'
import type { PlatformClient } from '@cyclamenthread/protocol'
import type { HostSettings } from './host-settings.js'

/** A host as this process sees it. */
export interface Member {
  readonly host: Host
  readonly state: HostState
}

/** The view of the hosts that the other tasks work from. */
export interface MemberView {
  /** Hosts that may own shards and be given new work, this one among them. */
  workers (): Host[]
  /** All hosts known, in any state. */
  members (): Member[]
  find (hostId: string): Host | undefined
  /** Calls back after each change of the view. */
  onChange (listener: () => void): void
}

/**
 * Keeps the view of the hosts, seeded from the platform's list.
 *
 * Invariant: this host is in its own view, whatever the list says.
 */
export class MemberTask implements MemberView {
  readonly #settings: HostSettings
  readonly #platform: PlatformClient
  readonly #members = new Map<string, Member>()
  readonly #changes = new EventEmitter()
  readonly #poll: Periodic
  #catalogueRevision: () => number = () => 0

  constructor (settings: HostSettings, platform: PlatformClient) {
    this.#settings = settings
    this.#platform = platform
    this.#members.set(settings.self.id, { host: settings.self, state: HostState.Alive })
    this.#poll = new Periodic(settings.hostListPeriodMs, async () => await this.#refresh())
  }

  /** The broker service that answers probes. */
  service (catalogueRevision: () => number): ServiceSchema {
    this.#catalogueRevision = catalogueRevision
    return taskService('member', {
      [PeerMessageKind.Probe]: async () => ({
        hostId: this.#settings.self.id,
        state: this.#own().state,
        catalogueRevision: this.#catalogueRevision()
      })
    })
  }

  async start (): Promise<void> {
    await this.#poll.start()
  }

  async stop (): Promise<void> {
    await this.#poll.stop()
  }

  /** Announces that this host takes no new work. */
  leave (): void {
    this.#set(this.#settings.self, HostState.Leaving)
  }

  workers (): Host[] {
    return this.members().filter((member) => member.state === HostState.Alive).map((member) => member.host)
  }

  members (): Member[] {
    return [...this.#members.values()]
  }

  find (hostId: string): Host | undefined {
    return this.#members.get(hostId)?.host
  }

  onChange (listener: () => void): void {
    this.#changes.on('change', listener)
  }

  async #refresh (): Promise<void> {
    const hosts = await this.#platform.hosts({ deadline: deadlineAfter(this.#settings.storeTimeoutMs) })
    if (!hosts.ok) return
    const listed = new Set(hosts.value.map((host) => host.id))
    for (const { leaving, ...host } of hosts.value) {
      if (host.id !== this.#settings.self.id) this.#set(host, leaving ? HostState.Leaving : HostState.Alive)
    }
    for (const member of this.members()) {
      const isSelf = member.host.id === this.#settings.self.id
      if (!isSelf && !listed.has(member.host.id)) this.#set(member.host, HostState.Dead)
    }
  }

  #own (): Member {
    return this.#members.get(this.#settings.self.id) ?? { host: this.#settings.self, state: HostState.Alive }
  }

  #set (host: Host, state: HostState): void {
    const before = this.#members.get(host.id)
    this.#members.set(host.id, { host, state })
    if (before?.state !== state) this.#changes.emit('change')
  }
}
