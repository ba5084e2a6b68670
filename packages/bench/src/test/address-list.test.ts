import test from 'ava'
import { selectHosts } from 'cyclamenthread'
import { seededRandom } from '../lib/random.js'
import { createNetworkHosts, MembershipSimulation } from '../lib/slopes/membership-simulation.js'
import type { Host } from '@cyclamenthread/state'

const SEED = Number(process.env['PROPERTY_SEED'] ?? 20_261_206)
const HOSTS = 60
const RUNS = 12

/** Time after its end from which the address list of no host names a killed host, in milliseconds. */
const UNLISTED_MS = 7_000

/** Time for which the lists are checked after that, in milliseconds: no late message may bring a killed host back. */
const CHECKED_MS = 8_000

const hosts = createNetworkHosts(HOSTS, 3)
const locations = [...new Map(hosts.map((host) => [host.failureDomain, host])).values()]

/** Returns the killed hosts that the address list of any other host names to callers of any failure domain. */
function listedKilled (network: MembershipSimulation, killed: ReadonlySet<string>): string[] {
  return network.runningNodes().flatMap(({ host, membership }) => {
    const members = membership?.members().map((member) => ({ host: member.host, state: member.state })) ?? []
    const listed = locations.flatMap((location) => selectHosts(members, location, HOSTS))
    return listed.filter(({ id }) => killed.has(id)).map(({ id }) => `${host.id} lists ${id}`)
  })
}

/** Kills hosts at once, and has others start afterwards with the host list of the platform, which still names the killed ones. */
function killHosts (seed: number, killed: readonly Host[], joining: readonly Host[], loss: number): string[] {
  const network = new MembershipSimulation(hosts, seededRandom(seed), 1)
  const ids = new Set(killed.map(({ id }) => id))
  for (const host of hosts) {
    if (!joining.includes(host)) network.start(host.id, hosts)
  }
  network.faults.loss = loss
  // A kill falls anywhere within a probe period.
  network.run(20_000 + seed % 997)
  for (const { id } of killed) network.crash(id)
  joining.forEach((host, index) => {
    network.run(Math.floor(UNLISTED_MS / (joining.length + 1)))
    if (index < joining.length) network.start(host.id, hosts)
  })
  network.run(UNLISTED_MS - joining.length * Math.floor(UNLISTED_MS / (joining.length + 1)))
  const found = new Set<string>()
  network.run(CHECKED_MS, () => {
    for (const text of listedKilled(network, ids)) found.add(text)
  })
  return [...found]
}

const SCENARIOS: ReadonlyArray<readonly [name: string, killed: (run: number) => readonly Host[], joining: (run: number) => readonly Host[], loss: number]> = [
  ['one host was killed', (run) => hosts.slice(run, run + 1), () => [], 0],
  ['one host was killed while 1 % of the messages are lost', (run) => hosts.slice(run, run + 1), () => [], 0.01],
  ['one host was killed and others start meanwhile', (run) => hosts.slice(run, run + 1), (run) => hosts.slice(run + 20, run + 24), 0],
  ['a failure domain was killed', (run) => hosts.filter(({ failureDomain }) => failureDomain === `domain-${run % 6}`), () => [], 0],
  ['a third of the hosts was killed', (run) => hosts.filter((_, index) => index % 3 === run % 3), () => [], 0]
]

// Guards against callers that connect to hosts which are gone (contactMs and 3 s).
for (const [name, killed, joining, loss] of SCENARIOS) {
  test(`7 s after ${name}, no list of addresses of 60 hosts names it (seed ${SEED}, ${RUNS} runs)`, (t) => {
    for (let run = 0; run < RUNS; run += 1) t.deepEqual(killHosts(SEED + run * 101, killed(run), joining(run), loss), [], `run ${run}`)
  })
}
