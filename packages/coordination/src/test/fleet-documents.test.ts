import test from 'ava'
import fc from 'fast-check'
import { EndpointState, FencingSupport, NO_RELEASES } from '@cyclamenthread/state'
import { nextRoster } from '../lib/capacity-roster.js'
import { isLeaseCandidate } from '../lib/lease-candidate.js'
import { mergeReleases } from '../lib/weight-release-publisher.js'
import type { Host, Roster } from '@cyclamenthread/state'
import type { OrderedEndpoint } from '@cyclamenthread/protocol'

const SEED = 20_261_209
const RUNS = 1_000

const observations = fc.array(fc.record({
  fleet: fc.uniqueArray(fc.record({ id: fc.constantFrom('a', 'b', 'c', 'd'), state: fc.constantFrom('starting', 'running', 'reclaiming', 'stopping') }), { selector: (item) => item.id }),
  leaving: fc.array(fc.constantFrom('a', 'b', 'c', 'd'))
}), { maxLength: 12 })

function orderedEndpoint (id: string, state: OrderedEndpoint['state']): OrderedEndpoint {
  return { endpoint: { id, url: 'http://127.0.0.1:1', region: 'r', failureDomain: 'd', slots: 1, cheap: true, fencing: FencingSupport.Checked }, pool: 'engines', state }
}

test(`the roster's sequence only increases by one, and a leaving or reclaimed endpoint never gets new work again (seed ${SEED})`, (t) => {
  fc.assert(fc.property(observations, (history) => {
    let roster: Roster = { sequence: 0, endpoints: [] }
    const leavingIds = new Set<string>()
    for (const { fleet, leaving } of history) {
      const present = new Set<string>(fleet.map((item) => item.id))
      for (const id of leavingIds) {
        if (!present.has(id)) leavingIds.delete(id)
      }
      for (const item of fleet) {
        if (item.state === 'running' && leaving.includes(item.id)) leavingIds.add(item.id)
      }
      const next = nextRoster(roster, fleet.map((item) => orderedEndpoint(item.id, item.state as OrderedEndpoint['state'])), new Set(leaving))
      if (next !== undefined && next.sequence !== roster.sequence + 1) return false
      roster = next ?? roster
      for (const item of roster.endpoints) {
        if (leavingIds.has(item.endpoint.id) && item.state === EndpointState.Running && fleet.find((one) => one.id === item.endpoint.id)?.state === 'running' && !wasRestarted(history, item.endpoint.id)) return false
      }
      if (roster.endpoints.length !== fleet.length) return false
    }
    return true
  }), { seed: SEED, numRuns: RUNS })
  t.pass()
})

/** The platform may report a state that goes back, such as from running to starting; the roster then guarantees nothing. */
function wasRestarted (history: ReadonlyArray<{ readonly fleet: ReadonlyArray<{ readonly id: string, readonly state: string }> }>, id: string): boolean {
  return history.some((observation) => observation.fleet.some((item) => item.id === id && (item.state === 'starting' || item.state === 'reclaiming')))
}

test(`the released version of a pool never decreases (seed ${SEED})`, (t) => {
  const releases = fc.array(fc.array(fc.record({ pool: fc.constantFrom('a', 'b'), version: fc.integer({ min: 0, max: 9 }) }), { maxLength: 4 }), { maxLength: 10 })
  fc.assert(fc.property(releases, (history) => {
    let known = NO_RELEASES
    for (const released of history) {
      const before = new Map(known.releases.map((item) => [item.pool, item.version]))
      const next = mergeReleases(known, released)
      if (next !== undefined && next.sequence !== known.sequence + 1) return false
      known = next ?? known
      for (const [pool, version] of before) {
        if ((known.releases.find((item) => item.pool === pool)?.version ?? 0) < version) return false
      }
      for (const item of released) {
        if (item.version > 0 && (known.releases.find((one) => one.pool === item.pool)?.version ?? 0) < item.version) return false
      }
    }
    return true
  }), { seed: SEED, numRuns: RUNS })
  t.pass()
})

test('three hosts contend for a lease, from its failure domain if that has hosts', (t) => {
  const host = (id: string, region: string, failureDomain: string): Host => ({ id, region, failureDomain, peerAddress: '', callerUrl: '', hasDataFolder: false })
  const workers = Array.from({ length: 40 }, (_, index) => host(`h${index}`, index < 20 ? 'r1' : 'r2', index < 10 ? 'd1' : 'd2'))
  const candidates = (place?: { readonly region: string, readonly failureDomain: string }): string[] => {
    return workers.filter((item) => isLeaseCandidate('domain/d1', item.id, workers, place)).map((item) => item.failureDomain)
  }
  t.deepEqual(candidates({ region: 'r1', failureDomain: 'd1' }), ['d1', 'd1', 'd1'])
  t.is(candidates({ region: 'r2', failureDomain: 'none' }).length, 3)
  t.is(candidates().length, 3)
})
