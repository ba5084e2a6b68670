import { EndpointPhase } from '../endpoint-table.js'
import type { EndpointEntry } from '../endpoint-table.js'

/** Builds the registry entry of a ready endpoint for tests; `changes` overrides its fields. */
export function endpointEntry (id: string, changes: Partial<EndpointEntry> = {}): EndpointEntry {
  return {
    id,
    service: 'models',
    address: `10.0.0.${id.length}:80`,
    failureDomain: 'leith-walk',
    slots: 4,
    phase: EndpointPhase.Ready,
    versions: { critic: 3 },
    bornAt: 1,
    softwareVersion: 's1',
    cheap: false,
    ...changes
  }
}
