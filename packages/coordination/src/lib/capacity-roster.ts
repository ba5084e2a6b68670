import { EMPTY_ROSTER, EndpointState, rosterSchema } from '@cyclamenthread/state'
import { ROSTER_KEY } from '@cyclamenthread/protocol'
import { ReplicatedDocument } from './replicated-document.js'
import type { Roster, RosteredEndpoint } from '@cyclamenthread/state'
import type { ObjectStore, OrderedEndpoint } from '@cyclamenthread/protocol'
import type { DocumentChange } from './replicated-document.js'

/**
 * Derives an endpoint's state in the roster from the platform's state and from
 * whether it was ordered to drain.
 */
function rosterStateOf (ordered: OrderedEndpoint, before: RosteredEndpoint | undefined, leaving: ReadonlySet<string>): EndpointState {
  switch (ordered.state) {
    case 'reclaiming': return EndpointState.Reclaimed
    case 'stopping': return EndpointState.Leaving
    case 'starting': return EndpointState.Starting
    default: return leaving.has(ordered.endpoint.id) || before?.state === EndpointState.Leaving ? EndpointState.Leaving : EndpointState.Running
  }
}

/**
 * Computes the roster from the platform's list of endpoints; returns undefined if nothing changed.
 *
 * @param leaving ids of endpoints that are ordered to drain now
 * @internal
 */
export function nextRoster (before: Roster, fleet: readonly OrderedEndpoint[], leaving: ReadonlySet<string>): Roster | undefined {
  const known = new Map(before.endpoints.map((item) => [item.endpoint.id, item]))
  const endpoints = fleet.map((ordered): RosteredEndpoint => ({
    endpoint: ordered.endpoint,
    pool: ordered.pool,
    state: rosterStateOf(ordered, known.get(ordered.endpoint.id), leaving)
  }))
  const isUnchanged = endpoints.length === before.endpoints.length && endpoints.every((item) => known.get(item.endpoint.id)?.state === item.state)
  return isUnchanged ? undefined : { sequence: before.sequence + 1, endpoints }
}

/**
 * Maintains the roster, the list of ordered endpoints and their states, in the store.
 *
 * Invariant: an endpoint that was ordered to drain never returns to running.
 */
export class CapacityRoster {
  readonly #document: ReplicatedDocument<typeof rosterSchema>

  constructor (store: ObjectStore, storeTimeoutMs: number) {
    this.#document = new ReplicatedDocument(store, ROSTER_KEY, rosterSchema, EMPTY_ROSTER, storeTimeoutMs)
  }

  /** Discards the cached roster, as another leader may have written a newer one. */
  reset (): void {
    this.#document.reset()
  }

  /** Returns the roster as last read or written; undefined if the store can't be read. */
  async read (): Promise<Roster | undefined> {
    return await this.#document.read()
  }

  /** Updates the roster from the platform's list of endpoints. */
  async update (fleet: readonly OrderedEndpoint[], leaving: ReadonlySet<string>): Promise<DocumentChange> {
    return await this.#document.change((before) => nextRoster(before, fleet, leaving))
  }
}
