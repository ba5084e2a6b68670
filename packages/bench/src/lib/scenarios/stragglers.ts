import { DEFAULT_BATCH_POLICY } from '@cyclamenthread/coordination'
import { Deployment } from '../deployment.js'
import { EIGHT_HOSTS } from '../deployment-plan.js'
import { seededRandom } from '../random.js'
import { EmbeddedHost } from '../service-host.js'
import { parseAnswerTokens, generateStep, lowerBoundMs, runStep, warmUp } from '../trainer-step.js'
import type { BatchPolicy } from '@cyclamenthread/coordination'
import type { DeploymentPlan } from '../deployment-plan.js'
import type { Scenario } from '../scenario.js'

const SAMPLES = 768
const GROUP_SIZE = 8
const SLOTS_PER_ENGINE = 8
const TOKEN_MS = 10

/** Factor by which one engine is slower than the others. */
const SLOWDOWN = 3

/** Steps per policy; the figures report the median. */
const STEPS = 3

/** Target for a step's duration, as a ratio to its lower bound. */
const MAX_STEP_RATIO = 1.15

const PLAN: DeploymentPlan = { ...EIGHT_HOSTS, slotsPerEngine: SLOTS_PER_ENGINE, tokenMs: TOKEN_MS, engine: { answerTokens: parseAnswerTokens } }

/** Figures of one batch policy. */
interface PolicyResult {
  readonly ratio: number
  readonly wasteShare: number
  readonly copies: number
  readonly copiesWon: number
  readonly lost: number
}

/** Runs steps with uneven sample lengths while one engine is slow but does not report it. */
export const stragglers: Scenario = {
  name: 'stragglers',
  question: 'how much longer than its lower bound does a step take when lengths differ and one engine is slow?',
  async run (seed) {
    const baseline = await runPolicy(seed, { ...DEFAULT_BATCH_POLICY, longestFirst: false, copies: false })
    const chosen = await runPolicy(seed, DEFAULT_BATCH_POLICY)
    return {
      figures: [
        { name: 'step over its lower bound, median', unit: 'ratio', baseline: baseline.ratio, chosen: chosen.ratio, target: { text: `at most ${MAX_STEP_RATIO}`, met: chosen.ratio <= MAX_STEP_RATIO } },
        { name: 'tokens produced for nothing', unit: 'share', baseline: baseline.wasteShare, chosen: chosen.wasteShare },
        { name: 'second copies', unit: 'samples', baseline: baseline.copies, chosen: chosen.copies },
        { name: 'second copies that came first', unit: 'samples', baseline: baseline.copiesWon, chosen: chosen.copiesWon },
        { name: 'samples lost or doubled', unit: 'samples', baseline: baseline.lost, chosen: chosen.lost, target: { text: 'none', met: chosen.lost === 0 } }
      ],
      notes: [
        `${STEPS} steps of ${SAMPLES} samples, 8 engines of ${SLOTS_PER_ENGINE} slots, ${TOKEN_MS} ms a token, one engine ${SLOWDOWN} times slower`,
        'baseline: the trainer\'s order, no second copies',
        'the lower bound counts each slot at its true speed'
      ]
    }
  }
}

async function runPolicy (seed: number, batchPolicy: BatchPolicy): Promise<PolicyResult> {
  const random = seededRandom(seed)
  const hosts: EmbeddedHost[] = []
  const deployment = new Deployment(PLAN, async (environment) => {
    const host = await EmbeddedHost.start(environment, { batchPolicy })
    hosts.push(host)
    return host
  }, random)
  await deployment.start()
  await warmUp(deployment)
  const slow = deployment.engines[0]
  if (slow !== undefined) slow.faults.slowdown = SLOWDOWN
  const speeds = deployment.engines.flatMap((engine) => Array.from({ length: SLOTS_PER_ENGINE }, () => 1 / (TOKEN_MS * engine.faults.slowdown)))
  const ratios: number[] = []
  let lost = 0
  let tokens = 0
  for (let index = 0; index < STEPS; index++) {
    const step = generateStep(random, SAMPLES, GROUP_SIZE)
    const result = await runStep(deployment, `step-${index}`, step)
    ratios.push(result.durationMs / lowerBoundMs(step, speeds))
    lost += result.lost + result.duplicated
    tokens += step.tokens
  }
  await deployment.stop()
  const sum = (pick: 'copies' | 'copiesWon' | 'wastedTokens'): number => hosts.reduce((total, host) => total + host.sampleCounters[pick], 0)
  return {
    ratio: ratios.sort((a, b) => a - b)[Math.floor(STEPS / 2)] ?? Infinity,
    wasteShare: sum('wastedTokens') / tokens,
    copies: sum('copies'),
    copiesWon: sum('copiesWon'),
    lost
  }
}
