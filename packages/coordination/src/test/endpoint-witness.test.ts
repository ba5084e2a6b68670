import test from 'ava'
import { EndpointWitness, SILENT_LOG } from '@cyclamenthread/coordination'
import { EndpointLife, EndpointSign, EndpointTable, failure, success } from '@cyclamenthread/state'
import { endpointEntry } from '@cyclamenthread/state/testing'
import { PeerFailure } from '@cyclamenthread/transport'
import type { EndpointWitnessContext } from '@cyclamenthread/coordination'
import type { EndpointProbe, Host } from '@cyclamenthread/state'

const RUN = { endpointId: 'a', bornAt: 1 }

interface Fixture {
  readonly table: EndpointTable
  readonly witness: EndpointWitness
  /** Ids of the hosts that were asked. */
  readonly asked: string[]
  /** Ids of the hosts that are suspected to be silent. */
  readonly suspected: Set<string>
  probes: number
}

/** A host in the first of two failure domains, and what it and others find out. */
function openFixture (own: () => EndpointSign, isDoubtful: boolean, others: Readonly<Record<string, EndpointProbe>> = {}): Fixture {
  const table = new EndpointTable()
  table.update([endpointEntry('a')])
  const fixture: Fixture = { table, asked: [], suspected: new Set(), probes: 0, witness: undefined as unknown as EndpointWitness }
  const probe = async (): Promise<EndpointSign> => {
    fixture.probes += 1
    return own()
  }
  const bus = {
    send: async (host: Host) => {
      fixture.asked.push(host.id)
      const answer = others[host.id]
      return answer === undefined ? failure(PeerFailure.NoReply) : success(answer)
    }
  } as unknown as EndpointWitnessContext['bus']
  const workers = ['h1', 'h2', 'h3', 'h4', 'h5', 'h6'].map((id, index) => ({ id, failureDomain: index < 3 ? 'd1' : 'd2' }) as Host)
  const witness = new EndpointWitness({ self: { id: 'h1', failureDomain: 'd1' }, deployment: { endpointTable: table }, endpoints: { probe }, relay: { isDoubtful, recordReached: () => {} }, members: { workers: () => workers, isSuspected: (id) => fixture.suspected.has(id) }, bus, log: SILENT_LOG })
  return Object.assign(fixture, { witness })
}

// Guards against sound requests that are held back because a failure domain is cut off from endpoints that still run.
test('an endpoint that a host of another failure domain reaches still runs', async (t) => {
  const silent = { sign: EndpointSign.None, isDoubtful: true }
  const fixture = openFixture(() => EndpointSign.None, true, { h4: silent, h5: { sign: EndpointSign.Alive, isDoubtful: false }, h6: silent })
  t.is(await fixture.witness.judge(RUN, performance.now()), EndpointLife.Running)
  t.deepEqual(fixture.asked.sort(), ['h4', 'h5', 'h6'])
})

// Guards against crashes that stay unknown because the hosts that are asked are silent.
test('hosts that are suspected are not asked', async (t) => {
  const fixture = openFixture(() => EndpointSign.None, true, { h2: { sign: EndpointSign.Alive, isDoubtful: false } })
  for (const id of ['h3', 'h4', 'h5', 'h6']) fixture.suspected.add(id)
  t.is(await fixture.witness.judge(RUN, performance.now()), EndpointLife.Running)
  t.deepEqual(fixture.asked, ['h2'])
})

// Guards against crashes that don't count at a host whose only endpoint has crashed (BUDGET).
test('a host in doubt takes the word of one that reaches others, and knows nothing without one', async (t) => {
  const sure = openFixture(() => EndpointSign.None, true, { h4: { sign: EndpointSign.None, isDoubtful: false } })
  t.is(await sure.witness.judge(RUN, performance.now()), EndpointLife.Ended)
  t.is(await openFixture(() => EndpointSign.None, true).witness.judge(RUN, performance.now()), EndpointLife.Unknown)
})

// Guards against endpoints that stall for a moment and pass for crashed ones.
test('an endpoint that gives a sign in the second round still runs', async (t) => {
  let round = 0
  const fixture = openFixture(() => {
    round += 1
    return round === 1 ? EndpointSign.None : EndpointSign.Alive
  }, false)
  t.is(await fixture.witness.judge(RUN, performance.now()), EndpointLife.Running)
})

test('an incarnation that the registry no longer lists has ended, and one that has answered since still runs, both without a probe', async (t) => {
  const fixture = openFixture(() => EndpointSign.None, false)
  fixture.table.recordAnswer('a', 1, performance.now() + 5)
  t.is(await fixture.witness.judge(RUN, performance.now()), EndpointLife.Running)
  fixture.table.update([endpointEntry('a', { bornAt: 2 })])
  t.is(await fixture.witness.judge(RUN, performance.now()), EndpointLife.Ended)
  t.is(fixture.probes, 0)
})

test('losses at the same moment are judged by the same probes', async (t) => {
  const fixture = openFixture(() => EndpointSign.Alive, false)
  const lostAt = performance.now()
  await Promise.all(Array.from({ length: 20 }, async () => await fixture.witness.judge(RUN, lostAt)))
  t.is(fixture.probes, 1)
})

// Guards against probes of endpoints to which the operator wants nothing sent.
test('an endpoint of an evacuated failure domain is not probed, and its silence shows nothing', async (t) => {
  const fixture = openFixture(() => EndpointSign.Alive, false)
  fixture.table.setEvacuatedDomains(new Set(['leith-walk']))
  t.is(await fixture.witness.judge(RUN, performance.now()), EndpointLife.Unknown)
  t.is(fixture.probes, 0)
})
