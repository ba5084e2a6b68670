import { HostState } from '@cyclamenthread/state'
import { peerMessageSchema, PeerMessageKind } from '@cyclamenthread/protocol'
import { encodeFrame, FrameReader } from '@cyclamenthread/transport'
import { seededRandom } from '../random.js'
import { MembershipSimulation, createNetworkHosts } from './membership-simulation.js'

/** Measured numbers of members. */
const SIZES = [8, 40, 120, 360] as const

/** Number of regions. */
const REGIONS = 6

/** Time for all members to join before the measurement, in milliseconds. */
const JOIN_DURATION_MS = 30_000

/** Duration of the measurements, in milliseconds. */
const MEASUREMENT_MS = 60_000

/** Time for which the detection of a crash is awaited, in milliseconds. */
const DETECTION_LIMIT_MS = 60_000

/** Share of messages that are lost while false suspicions are counted. */
const MESSAGE_LOSS = 0.01

/** Milliseconds per second. */
const SECOND_MS = 1_000

/** Cost of membership at one size. */
export interface MembershipSlopeRow {
  readonly members: number
  /** Bytes that one host sends per second, in the encoding of the wire. */
  readonly bytesPerSecond: number
  /** Processor time of one host for protocol decisions and codec, in microseconds per second. */
  readonly cpuMicrosPerSecond: number
  /** Heap used by one host's view, in bytes. */
  readonly stateBytes: number
  /** Time from a crash until the first and until the last host considers the member dead, in milliseconds. */
  readonly firstDetectionMs: number
  readonly lastDetectionMs: number
  /** Live members that any host considered suspect or dead, in a minute in which one message in a hundred was lost. */
  readonly falseSuspicions: number
  readonly falseDeaths: number
}

/**
 * Measures membership at each size, with all members simulated in this process.
 *
 * @param seed seed of the random source
 * @example
 * for (const row of measureMembership(1)) console.table(row)
 */
export function measureMembership (seed: number): MembershipSlopeRow[] {
  return SIZES.map((members) => measureSize(members, seed))
}

function measureSize (members: number, seed: number): MembershipSlopeRow {
  const before = heapUsedBytes()
  const network = createJoinedNetwork(members, seed)
  const stateBytes = (heapUsedBytes() - before) / members
  const steady = measureSteady(network)
  return { members, stateBytes, ...steady, ...measureLoss(network), ...measureDetection(network) }
}

function createJoinedNetwork (members: number, seed: number): MembershipSimulation {
  const hosts = createNetworkHosts(members, REGIONS)
  const network = new MembershipSimulation(hosts, seededRandom(seed))
  for (const host of hosts) network.start(host.id, hosts)
  network.run(JOIN_DURATION_MS)
  return network
}

function measureSteady (network: MembershipSimulation): Pick<MembershipSlopeRow, 'bytesPerSecond' | 'cpuMicrosPerSecond'> {
  let bytes = 0
  network.onMessage = (message) => {
    const frame = encodeFrame({ kind: PeerMessageKind.MembershipGossip, message })
    bytes += frame.length
    for (const body of new FrameReader().push(frame)) peerMessageSchema.parse(body)
  }
  const start = process.cpuUsage()
  network.run(MEASUREMENT_MS)
  const used = process.cpuUsage(start)
  network.onMessage = () => {}
  const hostSeconds = network.nodes.size * MEASUREMENT_MS / SECOND_MS
  return { bytesPerSecond: bytes / hostSeconds, cpuMicrosPerSecond: (used.user + used.system) / hostSeconds }
}

function measureLoss (network: MembershipSimulation): Pick<MembershipSlopeRow, 'falseSuspicions' | 'falseDeaths'> {
  const before = sumCounters(network)
  network.faults.loss = MESSAGE_LOSS
  network.run(MEASUREMENT_MS)
  network.faults.loss = 0
  const after = sumCounters(network)
  return { falseSuspicions: after.suspicions - before.suspicions, falseDeaths: after.deaths - before.deaths }
}

function sumCounters (network: MembershipSimulation): { readonly suspicions: number, readonly deaths: number } {
  const counters = network.runningNodes().flatMap((node) => node.membership?.counters ?? [])
  return {
    suspicions: counters.reduce((sum, counter) => sum + counter.suspicions, 0),
    deaths: counters.reduce((sum, counter) => sum + counter.deaths, 0)
  }
}

function measureDetection (network: MembershipSimulation): Pick<MembershipSlopeRow, 'firstDetectionMs' | 'lastDetectionMs'> {
  const victim = 'host-0'
  network.crash(victim)
  const crashedAt = network.now
  let first = Infinity
  let last = Infinity
  network.run(DETECTION_LIMIT_MS, () => {
    const running = network.runningNodes()
    const informed = running.filter((node) => network.stateOf(node.host.id, victim) === HostState.Dead).length
    if (informed > 0) first = Math.min(first, network.now - crashedAt)
    if (informed === running.length) last = Math.min(last, network.now - crashedAt)
  })
  return { firstDetectionMs: first, lastDetectionMs: last }
}

/** Returns the heap in use; exact only if the process was started with `--expose-gc`. */
function heapUsedBytes (): number {
  globalThis.gc?.()
  return process.memoryUsage().heapUsed
}
