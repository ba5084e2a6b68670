import { Caller } from '../caller.js'
import { Deployment, bearerTokenFor } from '../deployment.js'
import { EIGHT_HOSTS } from '../deployment-plan.js'
import { seededRandom } from '../random.js'
import { EmbeddedHost } from '../service-host.js'
import type { ExperimentReport, Scenario } from '../scenario.js'

/** Prompt text that crashes an engine stand-in. */
const POISON = 'POISON'

/** Number of times the caller sends the poison request. */
const ATTEMPTS = 6

/** Pause between two attempts, in milliseconds. */
const ATTEMPT_INTERVAL_MS = 200

/** Completions of another workspace that run concurrently all the time. */
const CONCURRENT_COMPLETIONS = 24

/** Interval between two bookings, in milliseconds. */
const BOOKING_INTERVAL_MS = 50

const COMPLETION_TOKENS = 40
const TOKEN_MS = 5

/** Target of the experiment. */
const MAX_LOST_ENGINES = 2

/** Damage done by a poison request. */
interface PoisonFigures {
  readonly enginesLost: number
  readonly bookingsSent: number
  /** Bookings that were not confirmed, or not executed exactly once. */
  readonly bookingsLost: number
  readonly completions: number
  readonly completionsFailed: number
  readonly lastStatus: number
}

/** A caller repeats a request that crashes every engine it runs on. The baseline varies its text, so that no digest repeats. */
export const poison: Scenario = {
  name: 'poison',
  question: 'How much does a request that crashes every engine it runs on take with it?',
  async run (seed: number): Promise<ExperimentReport> {
    const chosen = await measure(seed, () => `${POISON} of one kind`)
    const baseline = await measure(seed, (attempt) => `${POISON} number ${attempt}`)
    return {
      figures: [
        { name: 'engines lost of eight', unit: 'engines', baseline: baseline.enginesLost, chosen: chosen.enginesLost, target: { text: `at most ${MAX_LOST_ENGINES}`, met: chosen.enginesLost <= MAX_LOST_ENGINES } },
        { name: 'bookings lost', unit: 'bookings', baseline: baseline.bookingsLost, chosen: chosen.bookingsLost, target: { text: 'none', met: chosen.bookingsLost === 0 } },
        { name: 'bookings made', unit: 'bookings', baseline: baseline.bookingsSent, chosen: chosen.bookingsSent },
        { name: 'completions of others that failed', unit: 'requests', baseline: baseline.completionsFailed, chosen: chosen.completionsFailed },
        { name: 'completions of others', unit: 'requests', baseline: baseline.completions, chosen: chosen.completions }
      ],
      notes: [
        `the request is sent ${ATTEMPTS} times, one after the other; baseline: it differs each time, so that its digest is never known; last answers: ${chosen.lastStatus} and ${baseline.lastStatus}`,
        'the crashing requests are completions; bookings run on endpoints of their own pool'
      ]
    }
  }
}

async function measure (seed: number, prompt: (attempt: number) => string): Promise<PoisonFigures> {
  const deployment = new Deployment({ ...EIGHT_HOSTS, tokenMs: TOKEN_MS }, EmbeddedHost.start, seededRandom(seed))
  await deployment.start()
  for (const engine of deployment.engines) engine.faults.poison = POISON
  const traffic = { stopped: false }
  const completing = Promise.all(Array.from({ length: CONCURRENT_COMPLETIONS }, async (_, index) => await sendCompletions(deployment, index, traffic)))
  const booking = sendBookings(deployment, traffic)
  const lastStatus = await sendPoisonRequests(deployment, prompt)
  traffic.stopped = true
  const completions = (await completing).flat()
  const bookings = await booking
  const made = deployment.bookings.flatMap((endpoint) => endpoint.bookings.map((one) => one.body))
  const figures = {
    enginesLost: deployment.engines.filter((engine) => engine.isCrashed).length,
    bookingsSent: bookings.length,
    bookingsLost: bookings.filter((one) => one.status !== 201 || made.filter((body) => body === one.body).length !== 1).length,
    completions: completions.length,
    completionsFailed: completions.filter((status) => status !== 200).length,
    lastStatus
  }
  await deployment.stop()
  return figures
}

async function sendPoisonRequests (deployment: Deployment, prompt: (attempt: number) => string): Promise<number> {
  let status = 0
  for (let attempt = 0; attempt < ATTEMPTS; attempt++) {
    await sleep(ATTEMPT_INTERVAL_MS)
    const caller = callerFor(deployment, attempt, 'training')
    status = (await caller.send('POST', '/v1/completions', { model: 'answers', prompt: prompt(attempt), max_tokens: COMPLETION_TOKENS })).status
  }
  await sleep(ATTEMPT_INTERVAL_MS)
  return status
}

async function sendCompletions (deployment: Deployment, index: number, traffic: { stopped: boolean }): Promise<number[]> {
  const statuses: number[] = []
  while (!traffic.stopped) {
    const prompt = `bystander ${index}, request ${statuses.length}`
    const answer = await callerFor(deployment, index, 'festival').send('POST', '/v1/completions', { model: 'answers', prompt, max_tokens: COMPLETION_TOKENS })
    statuses.push(answer.status)
  }
  return statuses
}

async function sendBookings (deployment: Deployment, traffic: { stopped: boolean }): Promise<Array<{ readonly status: number, readonly body: string }>> {
  const bookings: Array<Promise<{ readonly status: number, readonly body: string }>> = []
  while (!traffic.stopped) {
    const booking = { pitch: bookings.length }
    const caller = callerFor(deployment, bookings.length, 'desk')
    bookings.push(caller.book(booking).then((answer) => ({ status: answer.status, body: JSON.stringify(booking) })))
    await sleep(BOOKING_INTERVAL_MS)
  }
  return await Promise.all(bookings)
}

function callerFor (deployment: Deployment, index: number, workspace: string): Caller {
  return new Caller(deployment.urls[index % deployment.urls.length] ?? '', bearerTokenFor(workspace))
}

async function sleep (milliseconds: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, milliseconds))
}
