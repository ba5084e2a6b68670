import { WeightStoreStandin } from '@cyclamenthread/standins'
import { Deployment } from '../deployment.js'
import { EIGHT_HOSTS } from '../deployment-plan.js'
import { seededRandom } from '../random.js'
import { EmbeddedHost } from '../service-host.js'
import { parseAnswerTokens, generateStep, runStep, warmUp } from '../trainer-step.js'
import type { DeploymentPlan } from '../deployment-plan.js'
import type { ExperimentReport, Scenario } from '../scenario.js'
import type { DeliveredSample } from '../caller.js'

/** Factor by which all times are shorter than in production. */
const TIME_SCALE = 4

/** Target for the time in which all endpoints get new weights, in milliseconds; seven seconds in production. */
const RELEASE_DEADLINE_MS = 7_000 / TIME_SCALE

/** Time between two releases, in milliseconds; eighty seconds in production. */
const RELEASE_PERIOD_MS = 80_000 / TIME_SCALE

/** Releases without a fault; one release with a fault follows. */
const RELEASES = 4

/** Fetches of weights per second that the weight store serves; eight in production. */
const FETCHES_PER_SECOND = 8 * TIME_SCALE

/** Time for which swapping weights halts an engine, in milliseconds. */
const SWAP_MS = 600 / TIME_SCALE

/** Time for which one engine ignores weight orders after the last release, in milliseconds. */
const FAULT_DURATION_MS = 4_000 / TIME_SCALE

/** Share of the endpoints that must serve at any time. */
const SERVING_SHARE = 0.5

const STALENESS_BOUND = 1
const SAMPLES = 256
const GROUP_SIZE = 8
const POLL_PERIOD_MS = 5
const FIRST_VERSION = 2

/** Time that may pass between the commit of a sample and the trainer's read, in milliseconds. */
const READ_LAG_MS = 1_000

/** Figures of one way of updating weights. */
interface WeightUpdateResult {
  readonly slowestReleaseMs: number
  readonly faultyReleaseMs: number
  readonly minServingShare: number
  readonly staleSamples: number
  readonly delivered: number
  readonly discarded: number
}

/** Releases new weights at a fixed period while a trainer pulls rollouts. */
export const weights: Scenario = {
  name: 'weights',
  question: 'how soon have all endpoints new weights, and how many of them serve meanwhile?',
  async run (seed) {
    const baseline = await runReleases(seed, 0)
    const chosen = await runReleases(seed, SERVING_SHARE)
    return buildReport(baseline, chosen)
  }
}

function buildReport (baseline: WeightUpdateResult, chosen: WeightUpdateResult): ExperimentReport {
  return {
    figures: [
      { name: 'slowest release on all endpoints', unit: 'ms', baseline: baseline.slowestReleaseMs, chosen: chosen.slowestReleaseMs, target: { text: `at most ${RELEASE_DEADLINE_MS}`, met: chosen.slowestReleaseMs <= RELEASE_DEADLINE_MS } },
      { name: 'release with an endpoint that ignores its first orders', unit: 'ms', baseline: baseline.faultyReleaseMs, chosen: chosen.faultyReleaseMs },
      { name: 'least share of the endpoints that served', unit: 'share', baseline: baseline.minServingShare, chosen: chosen.minServingShare, target: { text: `at least ${SERVING_SHARE}`, met: chosen.minServingShare >= SERVING_SHARE } },
      { name: 'samples over the staleness bound delivered', unit: 'samples', baseline: baseline.staleSamples, chosen: chosen.staleSamples, target: { text: 'none', met: chosen.staleSamples === 0 } },
      { name: 'samples delivered', unit: 'samples', baseline: baseline.delivered, chosen: chosen.delivered },
      { name: 'runs discarded as too old', unit: 'runs', baseline: baseline.discarded, chosen: chosen.discarded }
    ],
    notes: [
      `${RELEASES} releases and one with a fault, ${RELEASE_PERIOD_MS} ms apart; ${FETCHES_PER_SECOND} fetches a second, ${SWAP_MS} ms a swap; times are the field's divided by ${TIME_SCALE}, the service's own periods are not scaled`,
      'baseline: no serving share, all endpoints as fast as the weight store gives',
      `a sample counts as too old if some part is more than ${STALENESS_BOUND} behind what was released ${READ_LAG_MS} ms before the trainer read it`
    ]
  }
}

/** Released versions with the times of their release. */
class ReleaseLog {
  readonly #releases: Array<{ readonly version: number, readonly at: number }> = []

  add (version: number): void {
    this.#releases.push({ version, at: performance.now() })
  }

  newestAt (at: number): number {
    return this.#releases.filter((item) => item.at <= at).at(-1)?.version ?? 1
  }
}

async function runReleases (seed: number, servingShare: number): Promise<WeightUpdateResult> {
  const random = seededRandom(seed)
  const weightStore = new WeightStoreStandin(FETCHES_PER_SECOND)
  const weightStoreUrl = await weightStore.listen()
  const hosts: EmbeddedHost[] = []
  const deployment = new Deployment(createPlan(weightStoreUrl, servingShare), async (environment) => {
    const host = await EmbeddedHost.start(environment)
    hosts.push(host)
    return host
  }, random)
  await deployment.start()
  await warmUp(deployment)
  const releaseLog = new ReleaseLog()
  let minServingShare = 1
  const sampler = setInterval(() => {
    minServingShare = Math.min(minServingShare, deployment.engines.filter((engine) => !engine.isHalted).length / deployment.engines.length)
  }, POLL_PERIOD_MS)
  let stopped = false
  const training = runTrainer(deployment, random, releaseLog, () => stopped)
  const times: number[] = []
  for (let index = 0; index <= RELEASES; index++) {
    const version = FIRST_VERSION + index
    const [engine] = deployment.engines
    const isFaulty = index === RELEASES
    if (isFaulty && engine !== undefined) {
      engine.faults.ignoresWeightOrders = true
      setTimeout(() => {
        engine.faults.ignoresWeightOrders = false
      }, FAULT_DURATION_MS)
    }
    const releasedAt = performance.now()
    weightStore.release('engines', version)
    releaseLog.add(version)
    while (deployment.engines.some((item) => item.version !== version)) await sleep(POLL_PERIOD_MS)
    times.push(performance.now() - releasedAt)
    await sleep(Math.max(0, releasedAt + RELEASE_PERIOD_MS - performance.now()))
  }
  stopped = true
  const { staleSamples, delivered } = await training
  clearInterval(sampler)
  await deployment.stop()
  await weightStore.close()
  return {
    slowestReleaseMs: Math.max(...times.slice(0, RELEASES)),
    faultyReleaseMs: times[RELEASES] ?? Infinity,
    minServingShare,
    staleSamples,
    delivered,
    discarded: hosts.reduce((sum, host) => sum + host.sampleCounters.discardedStale, 0)
  }
}

function createPlan (weightStoreUrl: string, servingShare: number): DeploymentPlan {
  return {
    ...EIGHT_HOSTS,
    slotsPerEngine: 4,
    tokenMs: 10,
    stalenessBound: STALENESS_BOUND,
    engine: { answerTokens: parseAnswerTokens, weightStoreUrl, swapMs: SWAP_MS },
    environment: {
      CYCLAMENTHREAD_WEIGHT_STORE_URL: weightStoreUrl,
      CYCLAMENTHREAD_WEIGHT_FETCHES_PER_SECOND: String(FETCHES_PER_SECOND),
      CYCLAMENTHREAD_WEIGHT_SERVING_SHARE: String(servingShare),
      CYCLAMENTHREAD_WEIGHT_SWAP_TIMEOUT_MS: String(5_000 / TIME_SCALE)
    }
  }
}

/** Runs step after step and counts the samples whose weights are too old. */
async function runTrainer (deployment: Deployment, random: () => number, releaseLog: ReleaseLog, stopped: () => boolean): Promise<{ readonly staleSamples: number, readonly delivered: number }> {
  let staleSamples = 0
  let delivered = 0
  for (let index = 0; !stopped(); index++) {
    const newestVersion = (): number => releaseLog.newestAt(performance.now() - READ_LAG_MS)
    const { samples } = await runStep(deployment, `step-${index}`, generateStep(random, SAMPLES, GROUP_SIZE), (sample: DeliveredSample) => {
      if (sample.weight_versions.some((span) => newestVersion() - span.version > STALENESS_BOUND)) staleSamples += 1
    })
    delivered += samples.length
  }
  return { staleSamples, delivered }
}

async function sleep (milliseconds: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, milliseconds))
}
