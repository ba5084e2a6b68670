import { HostState, LossBackoff, Quarantine, RequestOrigin, unreachable } from '@cyclamenthread/state'
import { PeerMessageKind } from '@cyclamenthread/protocol'
import { deadlineAfter, monotonicNow } from '@cyclamenthread/transport'
import { taskService } from './task.js'
import type { ServiceSchema } from 'moleculer'
import type { Assessment } from '@cyclamenthread/state'
import type { ClearSuspect, ReportEndpointLoss } from '@cyclamenthread/protocol'
import type { HostSettings } from './host-settings.js'
import type { MemberView } from './member-task.js'
import type { MessageBus } from './message-bus.js'

/** Longest wait for other hosts to acknowledge a broadcast, in milliseconds. */
const BROADCAST_TIMEOUT_MS = 500

/** A request as far as losses of endpoints are counted. */
export interface LossSubject {
  readonly digest: string
  readonly origin: RequestOrigin
}

/**
 * Shares between hosts which requests ran on endpoints that were lost. A request of
 * a caller is refused from the second loss on, a sample of a batch only waits. Losses
 * are rare, so each is sent to every host, without retries; a host that misses the
 * message learns of the request when it loses an endpoint to it itself.
 */
export class QuarantineTask {
  readonly #settings: HostSettings
  readonly #members: MemberView
  readonly #bus: MessageBus
  readonly #quarantine = new Quarantine()
  readonly #backoff = new LossBackoff()

  constructor (settings: HostSettings, members: MemberView, bus: MessageBus) {
    this.#settings = settings
    this.#members = members
    this.#bus = bus
  }

  /** Returns the broker service that receives the reports of other hosts. */
  service (): ServiceSchema {
    return taskService('quarantine', {
      [PeerMessageKind.ReportEndpointLoss]: async (message) => ({ accepted: this.#recordLoss(message, message.endpointId) }),
      [PeerMessageKind.ClearSuspect]: async (message) => ({ accepted: this.#recordCompletion(message) })
    })
  }

  /** Returns whether a request may run now, and how. */
  assess ({ digest, origin }: LossSubject): Assessment {
    const now = monotonicNow()
    switch (origin) {
      case RequestOrigin.Caller: return { suspicion: this.#quarantine.classify(digest, now) }
      case RequestOrigin.Batch: return this.#backoff.assess(digest, now)
      default: return unreachable(origin)
    }
  }

  /** Records that an endpoint was lost while it ran the request, here and at all other hosts. */
  async recordLoss ({ digest, origin }: LossSubject, endpointId: string): Promise<void> {
    if (!this.#recordLoss({ digest, origin }, endpointId)) return
    await this.#broadcast({ kind: PeerMessageKind.ReportEndpointLoss, digest, origin, endpointId })
  }

  /** Records that the request ran to its end, which clears the suspicion here and at all other hosts. */
  async recordFinish ({ digest, origin }: LossSubject): Promise<void> {
    if (this.#recordCompletion({ digest, origin })) await this.#broadcast({ kind: PeerMessageKind.ClearSuspect, digest, origin })
  }

  #recordLoss ({ digest, origin }: LossSubject, endpointId: string): boolean {
    return this.#recordsOf(origin).recordLoss(digest, endpointId, monotonicNow())
  }

  #recordCompletion ({ digest, origin }: LossSubject): boolean {
    return this.#recordsOf(origin).recordCompletion(digest)
  }

  #recordsOf (origin: RequestOrigin): Quarantine | LossBackoff {
    switch (origin) {
      case RequestOrigin.Caller: return this.#quarantine
      case RequestOrigin.Batch: return this.#backoff
      default: return unreachable(origin)
    }
  }

  /** Waits for the other hosts' acknowledgements, so that a request repeated by its caller is known at every host. */
  async #broadcast (message: ReportEndpointLoss | ClearSuspect): Promise<void> {
    const deadline = deadlineAfter(BROADCAST_TIMEOUT_MS)
    const others = this.#members.members().filter(({ host, state }) => state !== HostState.Dead && host.id !== this.#settings.self.id)
    await Promise.all(others.map(async ({ host }) => await this.#bus.send(host, message, { deadline })))
  }
}
