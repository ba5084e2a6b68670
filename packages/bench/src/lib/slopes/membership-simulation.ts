import { Membership, MembershipEffectKind, MembershipEventKind } from '@cyclamenthread/state'
import type { Host, HostState, MembershipEffect, MembershipEvent, MembershipMessage } from '@cyclamenthread/state'

/** Time between two ticks of a member, in milliseconds. */
const TICK_MS = 200

/** Minimum latency of a message, in milliseconds. */
const LATENCY_MS = 1

/** Upper bound of the random addition to the latency, which reorders messages, in milliseconds. */
const JITTER_MS = 24

/** Faults of the simulated network. */
export interface NetworkFaults {
  /** Share of messages that are lost. */
  loss: number
  /** Share of messages that are delivered twice. */
  duplicates: number
  /** Whether messages between two hosts are dropped. */
  isCut: (from: Host, to: Host) => boolean
}

/** One simulated host; `membership` is absent while it is down. */
interface SimulatedNode {
  readonly host: Host
  membership: Membership | undefined
  paused: boolean
  incarnation: number
  readonly inbox: MembershipMessage[]
}

interface ScheduledDelivery {
  readonly at: number
  readonly hostId: string
  /** The message; absent for a tick. */
  readonly message?: MembershipMessage
}

/**
 * Simulates the membership protocol of many hosts in one process, on a virtual
 * clock and without sockets.
 */
export class MembershipSimulation {
  readonly faults: NetworkFaults = { loss: 0, duplicates: 0, isCut: () => false }
  readonly nodes = new Map<string, SimulatedNode>()
  now = 0
  /** Called with each message that is sent. */
  onMessage: (message: MembershipMessage) => void = () => {}
  readonly #random: () => number
  readonly #ringProbes: number
  readonly #queue = new Map<number, ScheduledDelivery[]>()

  constructor (hosts: readonly Host[], random: () => number, ringProbes = 0) {
    this.#random = random
    this.#ringProbes = ringProbes
    for (const host of hosts) this.nodes.set(host.id, { host, membership: undefined, paused: false, incarnation: 0, inbox: [] })
    for (const host of hosts) this.#schedule({ at: Math.floor(random() * TICK_MS), hostId: host.id })
  }

  /** Returns the node of a host. */
  node (hostId: string): SimulatedNode {
    const node = this.nodes.get(hostId)
    if (node === undefined) throw new Error(`unknown host ${hostId}`)
    return node
  }

  /** Starts or restarts a host with the host list that the platform gives it. */
  start (hostId: string, listed: readonly Host[]): void {
    const node = this.node(hostId)
    // The clock of a restarted host may have been set back, so its incarnation is not always higher.
    node.incarnation += Math.floor(this.#random() * 3)
    node.membership = new Membership(node.host, node.incarnation, this.#random, this.now, this.#ringProbes)
    node.inbox.length = 0
    this.step(hostId, { kind: MembershipEventKind.Candidates, hosts: listed.filter((host) => host.id !== hostId) })
  }

  /** Stops a host without notifying the others. */
  crash (hostId: string): void {
    this.node(hostId).membership = undefined
  }

  pause (hostId: string): void {
    this.node(hostId).paused = true
  }

  /** Resumes a paused host and delivers the messages that arrived meanwhile. */
  resume (hostId: string): void {
    const node = this.node(hostId)
    node.paused = false
    for (const message of node.inbox.splice(0)) this.step(hostId, { kind: MembershipEventKind.Message, message })
  }

  /** Passes an event to a host's membership immediately. */
  step (hostId: string, event: MembershipEvent): void {
    const node = this.node(hostId)
    for (const effect of node.membership?.step(event, this.now) ?? []) this.#applyEffect(node.host, effect)
  }

  /** Advances the clock and delivers what is due; `onTick` is called every tick period. */
  run (milliseconds: number, onTick: () => void = () => {}): void {
    const end = this.now + milliseconds
    for (; this.now < end; this.now++) {
      const due = this.#queue.get(this.now) ?? []
      this.#queue.delete(this.now)
      for (const delivery of due) this.#deliver(delivery)
      if (this.now % TICK_MS === 0) onTick()
    }
  }

  /** Returns the state of one host in the view of another. */
  stateOf (hostId: string, otherId: string): HostState | undefined {
    return this.node(hostId).membership?.find(otherId)?.state
  }

  /** Returns the nodes that are neither down nor paused. */
  runningNodes (): SimulatedNode[] {
    return [...this.nodes.values()].filter((node) => node.membership !== undefined && !node.paused)
  }

  #deliver (delivery: ScheduledDelivery): void {
    const node = this.node(delivery.hostId)
    if (delivery.message === undefined) {
      this.#schedule({ at: this.now + TICK_MS, hostId: delivery.hostId })
      if (!node.paused) this.step(delivery.hostId, { kind: MembershipEventKind.Tick })
      return
    }
    if (node.membership === undefined) return
    if (node.paused) node.inbox.push(delivery.message)
    else this.step(delivery.hostId, { kind: MembershipEventKind.Message, message: delivery.message })
  }

  #applyEffect (from: Host, effect: MembershipEffect): void {
    if (effect.kind === MembershipEffectKind.Changed) return
    this.onMessage(effect.message)
    if (!this.nodes.has(effect.to.id) || this.faults.isCut(from, effect.to)) return
    const copies = this.#random() < this.faults.duplicates ? 2 : 1
    for (let copy = 0; copy < copies; copy++) {
      if (this.#random() < this.faults.loss) continue
      const at = this.now + LATENCY_MS + Math.floor(this.#random() * JITTER_MS)
      this.#schedule({ at, hostId: effect.to.id, message: effect.message })
    }
  }

  #schedule (delivery: ScheduledDelivery): void {
    const due = this.#queue.get(delivery.at)
    if (due === undefined) this.#queue.set(delivery.at, [delivery])
    else due.push(delivery)
  }
}

/**
 * Creates hosts that are spread over regions, with two failure domains per region.
 *
 * @example
 * createNetworkHosts(8, 2)
 */
export function createNetworkHosts (count: number, regions: number): Host[] {
  return Array.from({ length: count }, (_, index) => ({
    id: `host-${index}`,
    region: `region-${index % regions}`,
    failureDomain: `domain-${index % (2 * regions)}`,
    peerAddress: `10.0.${index >> 8}.${index & 255}:7000`,
    callerUrl: `http://10.0.${index >> 8}.${index & 255}:8000`,
    hasDataFolder: false
  }))
}
