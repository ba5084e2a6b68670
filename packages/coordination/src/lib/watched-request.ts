import { failure } from '@cyclamenthread/state'
import { PeerMessageKind } from '@cyclamenthread/protocol'
import { deadlineAfter, PeerFailure } from '@cyclamenthread/transport'
import { shared, untilDeadline } from './shared-work.js'
import type { Host, Outcome } from '@cyclamenthread/state'
import type { PeerMessage, PeerResponse } from '@cyclamenthread/protocol'
import type { MessageBus } from './message-bus.js'
import type { OwnerDirectory } from './owner-directory.js'

/** Time without an answer after which a host is asked for a sign of life, in milliseconds: several round trips between regions. */
const FIRST_SIGN_MS = 300

/** Time from one sign of life to the next, in milliseconds: a host that falls silent during the longest wait must be noticed in the time that callers wait beyond it. */
const NEXT_SIGN_MS = 600

/** Timeout for a sign of life, in milliseconds: a round trip between regions and a delay at a busy host. */
const SIGN_TIMEOUT_MS = 300

/**
 * Asks other hosts for what may take long, and stops waiting for a host that shows
 * no sign of life. That a host is passed over in this way doesn't show that it is lost.
 *
 * @example
 * const requests = new WatchedRequests(bus, directory)
 * const answer = await requests.ask(host, { kind: PeerMessageKind.ReadRollout, ...read }, deadline)
 */
export class WatchedRequests {
  readonly #bus: MessageBus
  readonly #directory: OwnerDirectory
  readonly #probes = new Map<string, Promise<boolean>>()

  constructor (bus: MessageBus, directory: OwnerDirectory) {
    this.#bus = bus
    this.#directory = directory
  }

  /** Sends a message and waits for its answer until the deadline, or until the host leaves a probe unanswered as well. */
  async ask<Kind extends PeerMessageKind> (host: Host, message: Extract<PeerMessage, { kind: Kind }>, deadline: number): Promise<Outcome<PeerResponse<Kind>, PeerFailure>> {
    const asking = this.#send<Kind>(host, message, deadline)
    let signMs = FIRST_SIGN_MS
    for (;;) {
      const answer = await untilDeadline(asking, deadlineAfter(signMs)) ?? await Promise.race([asking, this.#probe(host)])
      if (typeof answer === 'object') return answer
      if (!answer) return failure(PeerFailure.NoReply)
      signMs = NEXT_SIGN_MS
    }
  }

  async #send<Kind extends PeerMessageKind> (host: Host, message: Extract<PeerMessage, { kind: Kind }>, deadline: number): Promise<Outcome<PeerResponse<Kind>, PeerFailure>> {
    const answer = await this.#bus.send<Kind>(host, message, { deadline })
    if (answer.ok) this.#directory.recordAnswer(host.id)
    return answer
  }

  /** Returns false if a host doesn't answer, as far as this process can tell. */
  async #probe (host: Host): Promise<boolean> {
    return await shared(this.#probes, host.id, async () => {
      const deadline = deadlineAfter(SIGN_TIMEOUT_MS)
      const answer = await this.#send(host, { kind: PeerMessageKind.Probe }, deadline)
      return answer.ok || !this.#directory.recordQuiet(host.id, deadline)
    })
  }
}
