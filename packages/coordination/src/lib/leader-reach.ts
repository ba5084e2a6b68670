import { EndpointReach } from '@cyclamenthread/state'
import { monotonicNow } from '@cyclamenthread/transport'
import type { CallRelay } from './call-forwarder.js'

/**
 * Whether a host that runs the duties reaches endpoints: by what it sends for callers and
 * trainers, and by its orders and reports alone, since answers on open connections
 * don't show that those arrive.
 *
 * @example
 * const reach = new LeaderReach(forwarder)
 * reach.recordUnreached('e1')
 * reach.isCutOff // false: a single endpoint
 */
export class LeaderReach {
  readonly #relay: Pick<CallRelay, 'isCutOff'>
  #orders = new EndpointReach()

  constructor (relay: Pick<CallRelay, 'isCutOff'>) {
    this.#relay = relay
  }

  /** Whether this host reaches no endpoint. */
  get isCutOff (): boolean {
    return this.#relay.isCutOff || this.#orders.isCutOff(monotonicNow())
  }

  /** Records the answer to an order, a request for a report or a probe. */
  recordReached (): void {
    this.#orders.recordReached(monotonicNow())
  }

  /** Records an order or a request for a report without an answer. */
  recordUnreached (endpointId: string): void {
    this.#orders.recordUnreached(endpointId)
  }

  /** Discards what an earlier lease showed. */
  reset (): void {
    this.#orders = new EndpointReach()
  }
}
