import { EndpointLife, EndpointSign, judgeEndpointLife } from '@cyclamenthread/state'
import { PeerMessageKind } from '@cyclamenthread/protocol'
import { deadlineAfter } from '@cyclamenthread/transport'
import { LogEvent } from './event-log.js'
import { responsiveWorkers } from './responsive-workers.js'
import { taskService } from './task.js'
import type { ServiceSchema } from 'moleculer'
import type { EndpointProbe, Host } from '@cyclamenthread/state'
import type { EndpointPort } from '@cyclamenthread/protocol'
import type { CallRelay } from './call-forwarder.js'
import type { DeploymentView } from './deployment-view.js'
import type { EventLog } from './event-log.js'
import type { MemberView } from './member-task.js'
import type { MessageBus } from './message-bus.js'

/** Number of other hosts that probe an endpoint. */
const WITNESSES = 3

/** Timeout of a probe, and of asking another host for one, in milliseconds. */
const PROBE_TIMEOUT_MS = 300
const WITNESS_TIMEOUT_MS = 450

/**
 * Time before the first round of probes, and between two, in milliseconds: an endpoint
 * that stalls for a moment isn't taken for one that has ended.
 */
const SETTLE_MS = 60
const ROUND_PAUSE_MS = 350

/** Rounds without a sign after which an endpoint counts as ended. */
const ROUNDS = 2

/**
 * Time after the loss within which an answer shows that the incarnation lives, in
 * milliseconds: before an endpoint that crashed is back, whose registry entry may be old.
 */
const SIGN_WINDOW_MS = 1_000

/** One run of an endpoint, between a start and the next. */
export interface EndpointRunId {
  readonly endpointId: string
  readonly bornAt: number
}

/** Tells endpoints that have ended from paths that are broken. */
export interface EndpointObserver {
  /**
   * Judges whether an incarnation of an endpoint still runs.
   *
   * @param lostAt monotonic milliseconds at which it gave no more sign
   */
  judge (run: EndpointRunId, lostAt: number): Promise<EndpointLife>
}

/** Dependencies of an {@link EndpointWitness}. */
export interface EndpointWitnessContext {
  readonly self: Pick<Host, 'id' | 'failureDomain'>
  readonly deployment: Pick<DeploymentView, 'endpointTable'>
  readonly endpoints: Pick<EndpointPort, 'probe'>
  readonly relay: Pick<CallRelay, 'isDoubtful' | 'recordReached'>
  readonly members: Pick<MemberView, 'workers' | 'isSuspected'>
  readonly bus: Pick<MessageBus, 'send'>
  readonly log: EventLog
}

interface Judgement {
  /** Monotonic milliseconds before which losses are covered by its probes. */
  readonly probesFrom: number
  readonly life: Promise<EndpointLife>
}

/** Probes endpoints that gave no more sign, and has other hosts probe them. */
export class EndpointWitness implements EndpointObserver {
  readonly #context: EndpointWitnessContext
  readonly #judgements = new Map<string, Judgement>()

  constructor (context: EndpointWitnessContext) {
    this.#context = context
  }

  /** Returns the broker service that probes endpoints for other hosts. */
  service (): ServiceSchema {
    return taskService('witness', {
      [PeerMessageKind.ProbeEndpoint]: async ({ endpointId, bornAt }) => await this.#probeForOther({ endpointId, bornAt })
    })
  }

  async judge (run: EndpointRunId, lostAt: number): Promise<EndpointLife> {
    const key = `${run.endpointId}@${run.bornAt}`
    const running = this.#judgements.get(key)
    if (running !== undefined && lostAt < running.probesFrom) return await running.life
    const judgement = { probesFrom: deadlineAfter(SETTLE_MS), life: this.#runRounds(run, lostAt) }
    this.#judgements.set(key, judgement)
    const life = await judgement.life
    if (this.#judgements.get(key) === judgement) this.#judgements.delete(key)
    return life
  }

  async #runRounds (run: EndpointRunId, lostAt: number): Promise<EndpointLife> {
    const { log } = this.#context
    let life = EndpointLife.Unknown
    await pause(SETTLE_MS)
    for (let round = 0; round < ROUNDS; round += 1) {
      if (round > 0) await pause(ROUND_PAUSE_MS)
      if (this.#hasAnsweredSince(run, lostAt)) {
        log.record(LogEvent.EndpointJudged, { endpoint: run.endpointId, bornAt: run.bornAt, outcome: EndpointLife.Running, source: 'own-answers', rounds: round + 1 })
        return EndpointLife.Running
      }
      const own = await this.#probe(run)
      const others = own.sign === EndpointSign.None ? await this.#askOthers(run) : []
      life = judgeEndpointLife(own, others)
      const isDecided = own.sign === EndpointSign.Replaced || life === EndpointLife.Running
      if (!isDecided && round + 1 < ROUNDS) continue
      log.record(LogEvent.EndpointJudged, { endpoint: run.endpointId, bornAt: run.bornAt, outcome: life, source: 'probes', own: own.sign, isDoubtful: own.isDoubtful, others: others.map(({ sign, isDoubtful }) => isDoubtful ? `${sign}-doubtful` : sign), rounds: round + 1 })
      if (isDecided) return life
    }
    return life
  }

  /** Whether this incarnation has answered a request that was sent after the loss. */
  #hasAnsweredSince ({ endpointId, bornAt }: EndpointRunId, lostAt: number): boolean {
    const record = this.#context.deployment.endpointTable.find(endpointId)
    return record !== undefined && record.entry.bornAt === bornAt && record.answeredSentAt > lostAt && record.answeredSentAt < lostAt + SIGN_WINDOW_MS
  }

  async #probe ({ endpointId, bornAt }: EndpointRunId): Promise<EndpointProbe> {
    const { deployment, endpoints, relay } = this.#context
    const record = deployment.endpointTable.find(endpointId)
    const entry = record?.entry
    // Nothing is sent to an evacuated failure domain, so this host can't tell.
    if (entry?.bornAt === bornAt && record?.isEvacuated === true) return { sign: EndpointSign.None, isDoubtful: true }
    const sign = entry === undefined || entry.bornAt !== bornAt ? EndpointSign.Replaced : await endpoints.probe(entry, deadlineAfter(PROBE_TIMEOUT_MS))
    if (sign === EndpointSign.Alive) relay.recordReached()
    return { sign, isDoubtful: relay.isDoubtful }
  }

  /** Probes an endpoint that this host may not know yet: that it is missing here shows nothing. */
  async #probeForOther (run: EndpointRunId): Promise<EndpointProbe> {
    const entry = this.#context.deployment.endpointTable.find(run.endpointId)?.entry
    const isUnknown = entry === undefined || entry.bornAt < run.bornAt
    return isUnknown ? { sign: EndpointSign.None, isDoubtful: true } : await this.#probe(run)
  }

  /** Asks a few other hosts, first those of other failure domains, since one may be cut off as a whole. */
  async #askOthers ({ endpointId, bornAt }: EndpointRunId): Promise<EndpointProbe[]> {
    const { self, members, bus } = this.#context
    const witnesses = responsiveWorkers(members)
      .filter(({ id }) => id !== self.id)
      .map((host) => ({ host, order: (host.failureDomain === self.failureDomain ? 1 : 0) + Math.random() }))
      .sort((a, b) => a.order - b.order)
      .slice(0, WITNESSES)
    const answers = await Promise.all(witnesses.map(async ({ host }) => await bus.send(host, { kind: PeerMessageKind.ProbeEndpoint, endpointId, bornAt }, { deadline: deadlineAfter(WITNESS_TIMEOUT_MS) })))
    return answers.flatMap((answer) => answer.ok ? [answer.value] : [])
  }
}

async function pause (milliseconds: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, milliseconds))
}
