import { Caller } from '../caller.js'
import { Deployment, tokenOf } from '../deployment.js'
import { TODAY } from '../deployment-plan.js'
import { seededRandom } from '../random.js'
import { EmbeddedHost } from '../service-host.js'
import type { ExperimentReport, Scenario } from '../scenario.js'

/** Text that crashes an engine. */
const POISON = 'POISON'

/** How often its caller sends the poison request. */
const SENDINGS = 6

/** Pause between two sendings, in milliseconds. */
const SENDING_PAUSE_MS = 200

/** Completions of others that run at the same time all along. */
const BYSTANDERS = 24

/** Pause between two bookings, in milliseconds. */
const BOOKING_PAUSE_MS = 50

const TOKENS = 40
const TOKEN_MS = 5

/** Target as stated. */
const MAX_LOST = 2

/** What a poison request did. */
interface PoisonFigures {
  readonly enginesLost: number
  readonly bookingsSent: number
  /** Bookings that were not answered, or not made exactly once. */
  readonly bookingsLost: number
  readonly completions: number
  readonly completionsFailed: number
  readonly lastStatus: number
}

/** A request that crashes each engine it runs on, sent again and again by its caller. */
export const poison: Scenario = {
  name: 'poison',
  question: 'How much does a request that crashes every engine it runs on take with it?',
  async run (seed: number): Promise<ExperimentReport> {
    const chosen = await measure(seed, () => `${POISON} of one kind`)
    const baseline = await measure(seed, (sending) => `${POISON} number ${sending}`)
    return {
      figures: [
        { name: 'engines lost of eight', unit: 'engines', baseline: baseline.enginesLost, chosen: chosen.enginesLost, target: { text: `at most ${MAX_LOST}`, met: chosen.enginesLost <= MAX_LOST } },
        { name: 'bookings lost', unit: 'bookings', baseline: baseline.bookingsLost, chosen: chosen.bookingsLost, target: { text: 'none', met: chosen.bookingsLost === 0 } },
        { name: 'bookings made', unit: 'bookings', baseline: baseline.bookingsSent, chosen: chosen.bookingsSent },
        { name: 'completions of others that failed', unit: 'requests', baseline: baseline.completionsFailed, chosen: chosen.completionsFailed },
        { name: 'completions of others', unit: 'requests', baseline: baseline.completions, chosen: chosen.completions }
      ],
      notes: [
        `the request is sent ${SENDINGS} times, one after the other; baseline: it differs each time, so that its digest is never known; last answers: ${chosen.lastStatus} and ${baseline.lastStatus}`,
        'the crashing requests are completions; bookings run on endpoints of their own pool'
      ]
    }
  }
}

async function measure (seed: number, prompt: (sending: number) => string): Promise<PoisonFigures> {
  const deployment = new Deployment({ ...TODAY, tokenMs: TOKEN_MS }, EmbeddedHost.start, seededRandom(seed))
  await deployment.start()
  for (const engine of deployment.engines) engine.faults.poison = POISON
  const run = { over: false }
  const completing = Promise.all(Array.from({ length: BYSTANDERS }, async (_, index) => await completeAll(deployment, index, run)))
  const booking = bookAll(deployment, run)
  const lastStatus = await sendPoison(deployment, prompt)
  run.over = true
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

async function sendPoison (deployment: Deployment, prompt: (sending: number) => string): Promise<number> {
  let status = 0
  for (let sending = 0; sending < SENDINGS; sending++) {
    await pause(SENDING_PAUSE_MS)
    const caller = callerOf(deployment, sending, 'training')
    status = (await caller.send('POST', '/v1/completions', { model: 'answers', prompt: prompt(sending), max_tokens: TOKENS })).status
  }
  await pause(SENDING_PAUSE_MS)
  return status
}

async function completeAll (deployment: Deployment, index: number, run: { over: boolean }): Promise<number[]> {
  const statuses: number[] = []
  while (!run.over) {
    const prompt = `bystander ${index}, request ${statuses.length}`
    const answer = await callerOf(deployment, index, 'festival').send('POST', '/v1/completions', { model: 'answers', prompt, max_tokens: TOKENS })
    statuses.push(answer.status)
  }
  return statuses
}

async function bookAll (deployment: Deployment, run: { over: boolean }): Promise<Array<{ readonly status: number, readonly body: string }>> {
  const bookings: Array<Promise<{ readonly status: number, readonly body: string }>> = []
  while (!run.over) {
    const what = { pitch: bookings.length }
    const caller = callerOf(deployment, bookings.length, 'desk')
    bookings.push(caller.book(what).then((answer) => ({ status: answer.status, body: JSON.stringify(what) })))
    await pause(BOOKING_PAUSE_MS)
  }
  return await Promise.all(bookings)
}

function callerOf (deployment: Deployment, index: number, workspace: string): Caller {
  return new Caller(deployment.urls[index % deployment.urls.length] ?? '', tokenOf(workspace))
}

async function pause (milliseconds: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, milliseconds))
}
