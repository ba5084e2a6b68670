import { EMPTY_ROSTER, EndpointState, rosterSchema } from '@cyclamenthread/state'
import { ROSTER_KEY } from '@cyclamenthread/protocol'
import { ReplicatedDocument } from './replicated-document.js'
import type { Roster, RosteredEndpoint } from '@cyclamenthread/state'
import type { ObjectStore, OrderedEndpoint } from '@cyclamenthread/protocol'
import type { DocumentChange } from './replicated-document.js'

/**
 * The endpoint as the roster tells of it: what the platform says, and that it
 * was asked to leave.
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
 * The roster after a look at the platform; undefined when nothing has changed.
 *
 * @param leaving endpoints that are asked to leave now
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
 * Keeps the roster in the store.
 *
 * Invariant: an endpoint that was asked to leave never goes back to running.
 */
export class CapacityRoster {
  readonly #document: ReplicatedDocument<typeof rosterSchema>

  constructor (store: ObjectStore, storeTimeoutMs: number) {
    this.#document = new ReplicatedDocument(store, ROSTER_KEY, rosterSchema, EMPTY_ROSTER, storeTimeoutMs)
  }

  /** Forgets what was read, as another leader may have written since. */
  reset (): void {
    this.#document.reset()
  }

  /** The roster as it stands in the store; undefined when it can't be read. */
  async read (): Promise<Roster | undefined> {
    return await this.#document.read()
  }

  /** Brings the roster up to what the platform tells. */
  async update (fleet: readonly OrderedEndpoint[], leaving: ReadonlySet<string>): Promise<DocumentChange> {
    return await this.#document.change((before) => nextRoster(before, fleet, leaving))
  }
}
