import { HostState, Quarantine } from '@cyclamenthread/state'
import { PeerMessageKind } from '@cyclamenthread/protocol'
import { deadlineAfter, monotonicNow } from '@cyclamenthread/transport'
import { taskService } from './task.js'
import type { ServiceSchema } from 'moleculer'
import type { Suspicion } from '@cyclamenthread/state'
import type { ClearSuspect, ReportEndpointLoss } from '@cyclamenthread/protocol'
import type { HostSettings } from './host-settings.js'
import type { MemberView } from './member-task.js'
import type { MessageBus } from './message-bus.js'

/** Longest wait for other hosts to acknowledge a broadcast, in milliseconds. */
const BROADCAST_TIMEOUT_MS = 500

/**
 * Shares between hosts which requests caused endpoints to fail. Losses are rare,
 * so each is sent to every host, without retries; a host that misses the message
 * learns of the request when it loses an endpoint to it itself.
 */
export class QuarantineTask {
  readonly #settings: HostSettings
  readonly #members: MemberView
  readonly #bus: MessageBus
  readonly #quarantine = new Quarantine()

  constructor (settings: HostSettings, members: MemberView, bus: MessageBus) {
    this.#settings = settings
    this.#members = members
    this.#bus = bus
  }

  /** Returns the broker service that receives the reports of other hosts. */
  service (): ServiceSchema {
    return taskService('quarantine', {
      [PeerMessageKind.ReportEndpointLoss]: async (message) => ({ accepted: this.#quarantine.recordLoss(message.digest, message.endpointId, monotonicNow()) }),
      [PeerMessageKind.ClearSuspect]: async (message) => ({ accepted: this.#quarantine.recordCompletion(message.digest) })
    })
  }

  /** Returns how much a request is suspected of causing failures. */
  suspicionOf (digest: string): Suspicion {
    return this.#quarantine.classify(digest, monotonicNow())
  }

  /** Records that an endpoint was lost while it ran the request, here and at all other hosts. */
  async recordLoss (digest: string, endpointId: string): Promise<void> {
    if (!this.#quarantine.recordLoss(digest, endpointId, monotonicNow())) return
    await this.#broadcast({ kind: PeerMessageKind.ReportEndpointLoss, digest, endpointId })
  }

  /** Records that the request ran to its end, which clears the suspicion here and at all other hosts. */
  async recordFinish (digest: string): Promise<void> {
    if (this.#quarantine.recordCompletion(digest)) await this.#broadcast({ kind: PeerMessageKind.ClearSuspect, digest })
  }

  /** Waits for the other hosts' acknowledgements, so that a request repeated by its caller is known at every host. */
  async #broadcast (message: ReportEndpointLoss | ClearSuspect): Promise<void> {
    const deadline = deadlineAfter(BROADCAST_TIMEOUT_MS)
    const others = this.#members.members().filter(({ host, state }) => state !== HostState.Dead && host.id !== this.#settings.self.id)
    await Promise.all(others.map(async ({ host }) => await this.#bus.send(host, message, { deadline })))
  }
}
