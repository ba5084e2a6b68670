import { DEFAULT_BATCH_POLICY } from '@cyclamenthread/coordination'
import { PlatformFleet } from '@cyclamenthread/standins'
import { Deployment } from '../deployment.js'
import { EIGHT_HOSTS } from '../deployment-plan.js'
import { seededRandom } from '../random.js'
import { EmbeddedHost } from '../service-host.js'
import { parseAnswerTokens, generateStep, runStep, warmUp } from '../trainer-step.js'
import type { CapacityRule } from '@cyclamenthread/state'
import type { BatchPolicy } from '@cyclamenthread/coordination'
import type { EngineStandin } from '@cyclamenthread/standins'
import type { DeploymentPlan } from '../deployment-plan.js'
import type { Scenario } from '../scenario.js'
import type { StepResult } from '../trainer-step.js'

const SLOTS_PER_ENGINE = 8
const TOKEN_MS = 10
const PREFILL_MS = 1
const SAMPLES = 512
const GROUP_SIZE = 8

/** Time from ordering an endpoint until it serves, in milliseconds. */
const START_MS = 1_000

/** Notice before cheap endpoints are taken away, in milliseconds. */
const NOTICE_MS = 1_000

/** Prices per second of a steady and of a cheap endpoint. */
const STEADY_PRICE = 3
const CHEAP_PRICE = 1

/** Failure domain whose cheap endpoints are reclaimed. */
const RECLAIMED_DOMAIN = 'grassmarket'

/** Period of sampling the slots in use, in milliseconds. */
const SAMPLE_PERIOD_MS = 50

/** Part of a step that counts as steady load: its tail is excluded, its start is included so that slow filling shows. */
const STEADY_FROM = 0
const STEADY_UNTIL = 0.75

const CAPACITY_RULES: readonly CapacityRule[] = [
  { failureDomain: 'leith-walk', region: 'lothian', cheap: true, minimum: 0, maximum: 3 },
  { failureDomain: RECLAIMED_DOMAIN, region: 'lothian', cheap: true, minimum: 0, maximum: 3 },
  { failureDomain: 'castlegate', region: 'grampian', cheap: true, minimum: 0, maximum: 2 },
  { failureDomain: 'leith-walk', region: 'lothian', cheap: false, minimum: 0, maximum: 3 }
]

const ENGINE_SETTINGS = { slots: SLOTS_PER_ENGINE, tokenMs: TOKEN_MS, prefillMs: PREFILL_MS, checksFencing: true, answerTokens: parseAnswerTokens }

const PLAN: DeploymentPlan = {
  ...EIGHT_HOSTS,
  domains: EIGHT_HOSTS.domains.map((domain) => ({ ...domain, engines: domain.name === 'leith-walk' ? 1 : 0 })),
  slotsPerEngine: SLOTS_PER_ENGINE,
  tokenMs: TOKEN_MS,
  engine: { answerTokens: parseAnswerTokens, prefillMs: PREFILL_MS },
  capacity: CAPACITY_RULES,
  environment: {
    CYCLAMENTHREAD_ENDPOINT_START_MS: String(START_MS),
    CYCLAMENTHREAD_ENDPOINT_HOLD_MS: '5000',
    CYCLAMENTHREAD_ENDPOINT_BACK_OFF_MS: '2000',
    CYCLAMENTHREAD_ENDPOINT_SLOTS: String(SLOTS_PER_ENGINE)
  }
}

/** Figures of one batch policy. */
interface ReclaimResult {
  readonly ratio: number
  readonly lost: number
  readonly cheapShare: number
  readonly idleShare: number
  readonly wasteShare: number
  readonly moved: number
  readonly spent: number
}

/** Reclaims the cheap endpoints of a failure domain during a step. */
export const reclaim: Scenario = {
  name: 'reclaim',
  question: 'what does a step lose when the cheap endpoints of a failure domain are taken back, and how much runs on cheap ones?',
  async run (seed) {
    const baseline = await runPolicy(seed, { ...DEFAULT_BATCH_POLICY, moves: false })
    const chosen = await runPolicy(seed, DEFAULT_BATCH_POLICY)
    return {
      figures: [
        { name: 'step with a reclaim over the one before it', unit: 'ratio', baseline: baseline.ratio, chosen: chosen.ratio, target: { text: 'at most 1.3', met: chosen.ratio <= 1.3 } },
        { name: 'samples lost or doubled', unit: 'samples', baseline: baseline.lost, chosen: chosen.lost, target: { text: 'none', met: chosen.lost === 0 } },
        { name: 'rollout tokens on cheap endpoints while they can be had', unit: 'share', baseline: baseline.cheapShare, chosen: chosen.cheapShare, target: { text: 'at least 0.7', met: chosen.cheapShare >= 0.7 } },
        { name: 'spending on idle slots at steady load', unit: 'share', baseline: baseline.idleShare, chosen: chosen.idleShare, target: { text: 'under 0.1', met: chosen.idleShare < 0.1 } },
        { name: 'tokens produced for nothing in the step with the reclaim', unit: 'share', baseline: baseline.wasteShare, chosen: chosen.wasteShare },
        { name: 'streams moved', unit: 'streams', baseline: baseline.moved, chosen: chosen.moved },
        { name: 'spent over the run', unit: 'price', baseline: baseline.spent, chosen: chosen.spent }
      ],
      notes: [
        `steps of ${SAMPLES} samples; one declared engine, up to 8 cheap and 3 steady ones to be ordered, ${SLOTS_PER_ENGINE} slots each; a start takes ${START_MS} ms, notice is ${NOTICE_MS} ms; afterwards no cheap ones are to be had in ${RECLAIMED_DOMAIN}`,
        'baseline: streams run until the endpoint vanishes and are then run again from the start',
        `steady load: from ${STEADY_FROM} to ${STEADY_UNTIL} of the step without a reclaim`,
        'the steps before the reclaim and with it have the same samples'
      ]
    }
  }
}

async function runPolicy (seed: number, batchPolicy: BatchPolicy): Promise<ReclaimResult> {
  const random = seededRandom(seed)
  const hosts: EmbeddedHost[] = []
  const deployment = new Deployment(PLAN, async (environment) => {
    const host = await EmbeddedHost.start(environment, { batchPolicy })
    hosts.push(host)
    return host
  }, random)
  const regions = new Map(PLAN.domains.map((domain) => [domain.name, domain.region]))
  const fleet = new PlatformFleet({ engine: ENGINE_SETTINGS, startMs: START_MS, steadyPrice: STEADY_PRICE, cheapPrice: CHEAP_PRICE, regions })
  deployment.platform.fleetSimulator = fleet
  await deployment.start()
  await warmUp(deployment)
  const step = generateStep(random, SAMPLES, GROUP_SIZE)
  await runStep(deployment, 'ramp', generateStep(random, SAMPLES, GROUP_SIZE))
  const before = fleet.tokensProduced(true)
  const [plain, idleShare] = await measureIdleShare(deployment, fleet, runStep(deployment, 'plain', step))
  const cheapTokens = fleet.tokensProduced(true) - before
  const wasteBefore = sumWastedTokens(hosts)
  const reclaimed = runStep(deployment, 'reclaimed', step)
  await sleep(plain.durationMs / 3)
  fleet.exhaustedDomains.add(RECLAIMED_DOMAIN)
  void fleet.reclaim(RECLAIMED_DOMAIN, NOTICE_MS)
  const after = await reclaimed
  const result: ReclaimResult = {
    ratio: after.durationMs / plain.durationMs,
    lost: [plain, after].reduce((sum, item) => sum + item.lost + item.duplicated, 0),
    cheapShare: cheapTokens / step.tokens,
    idleShare,
    wasteShare: (sumWastedTokens(hosts) - wasteBefore) / step.tokens,
    moved: hosts.reduce((sum, host) => sum + host.sampleCounters.moved, 0),
    spent: fleet.totalCost
  }
  await deployment.stop()
  await fleet.close()
  return result
}

/** Returns the result of a step and the share of its cost that was paid for idle slots under steady load. */
async function measureIdleShare (deployment: Deployment, fleet: PlatformFleet, step: Promise<StepResult>): Promise<readonly [StepResult, number]> {
  const costSamples: Array<{ readonly at: number, readonly idle: number, readonly all: number }> = []
  const startedAt = performance.now()
  const timer = setInterval(() => {
    const groups = [{ price: CHEAP_PRICE, engines: fleet.engines(true) }, { price: STEADY_PRICE, engines: [...deployment.engines, ...fleet.engines(false)] }]
    const cost = (count: (engine: EngineStandin) => number): number => groups.reduce((sum, { price, engines }) => {
      return sum + price * engines.reduce((slots, engine) => slots + count(engine), 0)
    }, 0)
    costSamples.push({ at: performance.now() - startedAt, idle: cost((engine) => SLOTS_PER_ENGINE - engine.running), all: cost(() => SLOTS_PER_ENGINE) })
  }, SAMPLE_PERIOD_MS)
  const result = await step
  clearInterval(timer)
  const steadySamples = costSamples.filter((sample) => sample.at > result.durationMs * STEADY_FROM && sample.at < result.durationMs * STEADY_UNTIL)
  const idle = steadySamples.reduce((sum, sample) => sum + sample.idle, 0)
  return [result, idle / Math.max(1, steadySamples.reduce((sum, sample) => sum + sample.all, 0))]
}

function sumWastedTokens (hosts: readonly EmbeddedHost[]): number {
  return hosts.reduce((sum, host) => sum + host.sampleCounters.wastedTokens, 0)
}

async function sleep (milliseconds: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, milliseconds))
}
