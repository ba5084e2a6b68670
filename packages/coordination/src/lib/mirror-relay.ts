import { HostState } from '@cyclamenthread/state'
import { PeerMessageKind } from '@cyclamenthread/protocol'
import { deadlineAfter, monotonicNow } from '@cyclamenthread/transport'
import { MirrorRole } from './store-mirror.js'
import { relaysOf } from './relay-placement.js'
import { responsiveWorkers } from './responsive-workers.js'
import { taskService } from './task.js'
import type { ServiceSchema } from 'moleculer'
import type { Host } from '@cyclamenthread/state'
import type { MirrorAge, MirrorUpdate } from '@cyclamenthread/protocol'
import type { MemberView } from './member-task.js'
import type { MessageBus } from './message-bus.js'
import type { StoreMirror } from './store-mirror.js'

/** Number of hosts in a region from which on relays are used; in smaller regions, two relays would save almost no store calls. */
const MIN_RELAYED_HOSTS = 9

/** Timeout for asking a relay for the age of its copy, in milliseconds: a few round trips within a region. */
const AGE_TIMEOUT_MS = 200

/** Dependencies of the relay. */
export interface MirrorRelayContext {
  readonly self: Host
  readonly members: MemberView
  readonly bus: MessageBus
  readonly mirrors: readonly StoreMirror[]
}

/**
 * In a large region, two relay hosts watch the store for all hosts, so that the
 * number of store calls does not grow with the number of hosts. Relays forward
 * the result of each watch, even if nothing has changed.
 *
 * Invariant: a host relies on relays only while one of them confirms that its
 * copy is current; else it watches the store itself, as hosts of small regions do.
 */
export class MirrorRelay {
  readonly #context: MirrorRelayContext

  constructor (context: MirrorRelayContext) {
    this.#context = context
    for (const mirror of context.mirrors) {
      mirror.setRole(() => this.role)
      mirror.setRelayQuery(async () => await this.#askRelay(mirror.prefix))
      mirror.onUpdate((update) => this.#forwardUpdate(update))
    }
  }

  /** This host's current role in following the store. */
  get role (): MirrorRole {
    const { members, self } = this.#context
    if (members.workers().filter((host) => host.region === self.region).length < MIN_RELAYED_HOSTS) return MirrorRole.Independent
    return relaysOf(self.region, responsiveWorkers(members)).some((host) => host.id === self.id) ? MirrorRole.Relay : MirrorRole.Follower
  }

  /** Returns the broker service that receives updates from relays. */
  service (): ServiceSchema {
    return taskService('mirrors', {
      [PeerMessageKind.RelayMirrorUpdate]: async ({ update }) => {
        // If relays accepted updates from each other, they would keep confirming each other's copies after both lost the store.
        if (this.role !== MirrorRole.Follower) return { accepted: false }
        this.#context.mirrors.find((mirror) => mirror.prefix === update.prefix)?.applyUpdate(update)
        return { accepted: true }
      },
      [PeerMessageKind.ReadMirrorAge]: async ({ prefix }) => {
        const mirror = this.#context.mirrors.find((candidate) => candidate.prefix === prefix)
        return this.role !== MirrorRole.Relay || mirror?.next === undefined ? {} : { next: mirror.next, ageMs: monotonicNow() - mirror.currentAt }
      }
    })
  }

  /** Asks the relays of the region in turn for the age of their copies; empty if none answers. */
  async #askRelay (prefix: string): Promise<MirrorAge> {
    const { bus, members, self } = this.#context
    for (const relay of relaysOf(self.region, responsiveWorkers(members))) {
      const answer = await bus.send(relay, { kind: PeerMessageKind.ReadMirrorAge, prefix }, { deadline: deadlineAfter(AGE_TIMEOUT_MS) })
      if (answer.ok && answer.value.next !== undefined) return answer.value
    }
    return {}
  }

  /** Forwards an update to all hosts of the region that are not dead, if this host is a relay. */
  #forwardUpdate (update: MirrorUpdate): void {
    const { bus, members, self } = this.#context
    if (this.role !== MirrorRole.Relay) return
    for (const { host, state } of members.members()) {
      if (state === HostState.Dead || host.region !== self.region || host.id === self.id) continue
      void bus.post(host, { kind: PeerMessageKind.RelayMirrorUpdate, update })
    }
  }
}
