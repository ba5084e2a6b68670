import { HostState } from '@cyclamenthread/state'
import { PeerMessageKind } from '@cyclamenthread/protocol'
import { MirrorRole } from './store-mirror.js'
import { relaysOf } from './relay-placement.js'
import { taskService } from './task.js'
import type { ServiceSchema } from 'moleculer'
import type { Host } from '@cyclamenthread/state'
import type { MirrorUpdate } from '@cyclamenthread/protocol'
import type { MemberView } from './member-task.js'
import type { MessageBus } from './message-bus.js'
import type { StoreMirror } from './store-mirror.js'

/** Hosts of a region from which on relays watch the store for it; with fewer, two relays would save next to nothing. */
const MIN_RELAYED_HOSTS = 9

/** What the relay works with. */
export interface MirrorRelayContext {
  readonly self: Host
  readonly members: MemberView
  readonly bus: MessageBus
  readonly mirrors: readonly StoreMirror[]
}

/**
 * Has two hosts of a large region watch the store for all of it, so that the
 * calls of the store don't grow with the hosts. Relays tell what each watch has
 * brought, also that nothing has changed.
 *
 * Invariant: a host relies on relays only while one of them says that its copy
 * is current; else it watches the store itself, as hosts of small regions do.
 */
export class MirrorRelay {
  readonly #context: MirrorRelayContext

  constructor (context: MirrorRelayContext) {
    this.#context = context
    for (const mirror of context.mirrors) {
      mirror.setRole(() => this.role)
      mirror.onUpdate((update) => this.#forwardUpdate(update))
    }
  }

  /** How this host learns of changes now. */
  get role (): MirrorRole {
    const { members, self } = this.#context
    const workers = members.workers()
    if (workers.filter((host) => host.region === self.region).length < MIN_RELAYED_HOSTS) return MirrorRole.Independent
    return relaysOf(self.region, workers).some((host) => host.id === self.id) ? MirrorRole.Relay : MirrorRole.Follower
  }

  /** The broker service that takes what relays say. */
  service (): ServiceSchema {
    return taskService('mirrors', {
      [PeerMessageKind.RelayMirrorUpdate]: async ({ update }) => {
        // Relays that took each other's word would go on calling their copies current after both have lost the store.
        if (this.role !== MirrorRole.Follower) return { accepted: false }
        this.#context.mirrors.find((mirror) => mirror.prefix === update.prefix)?.applyUpdate(update)
        return { accepted: true }
      }
    })
  }

  /** Sends to all hosts of the region that still serve, if this host is a relay. */
  #forwardUpdate (update: MirrorUpdate): void {
    const { bus, members, self } = this.#context
    if (this.role !== MirrorRole.Relay) return
    for (const { host, state } of members.members()) {
      if (state === HostState.Dead || host.region !== self.region || host.id === self.id) continue
      void bus.post(host, { kind: PeerMessageKind.RelayMirrorUpdate, update })
    }
  }
}
