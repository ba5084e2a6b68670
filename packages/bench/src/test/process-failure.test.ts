import test from 'ava'
import { AddressCache } from '../lib/address-cache.js'
import { createStepSamples } from '../lib/caller.js'
import { Deployment, bearerTokenFor } from '../lib/deployment.js'
import { EIGHT_HOSTS } from '../lib/deployment-plan.js'
import { BookingOutcome, RetryingCaller } from '../lib/retrying-caller.js'
import { seededRandom } from '../lib/random.js'
import { ProcessHost } from '../lib/service-host.js'
import type { ExecutionContext } from 'ava'
import type { BookingReport } from '../lib/retrying-caller.js'
import type { DeliveredSample } from '../lib/caller.js'

const SEED = 4_112
const SAMPLES = 64
const GROUP_SIZE = 8
const SAMPLE_TOKENS = 64
const BOOKINGS = 60
const MAX_ATTEMPTS = 300
const BOOKING_PERIOD_MS = 50

/** What the callers observed during a fault. */
interface Outcome {
  readonly samples: readonly DeliveredSample[]
  readonly bookings: readonly BookingReport[]
}

/** Runs a training step and bookings during a fault, and waits for all three. */
async function runWorkloadDuring (deployment: Deployment, fault: () => Promise<void>): Promise<Outcome> {
  const addresses = new AddressCache(deployment.urls)
  const trainer = new RetryingCaller(addresses, bearerTokenFor('training'))
  const desk = new RetryingCaller(addresses, bearerTokenFor('desk'))
  await trainer.openBatch('step', 'critique', createStepSamples(SAMPLES, GROUP_SIZE, SAMPLE_TOKENS), MAX_ATTEMPTS)
  const faulted = fault()
  const bookings = Promise.all(Array.from({ length: BOOKINGS }, async (_, index) => {
    await sleep(index * BOOKING_PERIOD_MS)
    return await desk.book({ pitch: index }, `pitch-${index}`, MAX_ATTEMPTS)
  }))
  const samples = await trainer.readBatch('step', SAMPLES, MAX_ATTEMPTS)
  await faulted
  return { samples, bookings: await bookings }
}

/** Asserts the guarantees that hold for every fault: complete steps, and samples and bookings exactly once. */
function assertGuarantees (t: ExecutionContext, deployment: Deployment, outcome: Outcome): void {
  t.is(outcome.samples.length, SAMPLES, 'a step is complete')
  t.is(new Set(outcome.samples.map((sample) => sample.id)).size, SAMPLES, 'each sample is delivered once')
  for (const sample of outcome.samples) {
    t.is(sample.weight_versions.reduce((sum, span) => sum + span.tokens, 0), SAMPLE_TOKENS, 'each sample is complete and names its weight versions')
  }
  const perKey = new Map<string, number>()
  for (const booking of deployment.bookings.flatMap((endpoint) => endpoint.bookings)) {
    perKey.set(booking.idempotencyKey, (perKey.get(booking.idempotencyKey) ?? 0) + 1)
  }
  for (const [key, count] of perKey) t.is(count, 1, `${key} is booked exactly once`)
  for (const [index, report] of outcome.bookings.entries()) {
    if (report.end === BookingOutcome.Booked) t.true(perKey.has(`pitch-${index}`), 'a booking reported as booked exists')
    if (report.end === BookingOutcome.NotRun) t.false(perKey.has(`pitch-${index}`), 'a booking reported as not run does not exist')
  }
}

async function sleep (milliseconds: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, milliseconds))
}

async function startDeployment (t: ExecutionContext, random = seededRandom(SEED)): Promise<Deployment> {
  const deployment = new Deployment({ ...EIGHT_HOSTS, tokenMs: 4 }, ProcessHost.start, random)
  t.teardown(async () => await deployment.stop())
  await deployment.start()
  return deployment
}

test.serial('two hosts are killed during a step', async (t) => {
  const deployment = await startDeployment(t)
  const outcome = await runWorkloadDuring(deployment, async () => {
    await sleep(300)
    await Promise.all([deployment.hosts[0]?.kill(), deployment.hosts[4]?.kill()])
  })
  assertGuarantees(t, deployment, outcome)
})

test.serial('three hosts are paused and resumed, one after the other', async (t) => {
  const deployment = await startDeployment(t)
  const outcome = await runWorkloadDuring(deployment, async () => {
    for (const host of deployment.hosts.slice(0, 3) as ProcessHost[]) {
      host.sendSignal('SIGSTOP')
      await sleep(4_000)
      host.sendSignal('SIGCONT')
      await sleep(200)
    }
  })
  assertGuarantees(t, deployment, outcome)
})

test.serial('the store is down for five seconds', async (t) => {
  const deployment = await startDeployment(t)
  const outcome = await runWorkloadDuring(deployment, async () => {
    await sleep(200)
    deployment.store.faults.down = true
    await sleep(5_000)
    deployment.store.faults.down = false
  })
  assertGuarantees(t, deployment, outcome)
  t.true(outcome.bookings.every((report) => report.end === BookingOutcome.Booked), 'all bookings succeed once the store is back')
})

test.serial(`a third of the store's responses are lost after the write (seed ${SEED})`, async (t) => {
  const deployment = await startDeployment(t)
  const outcome = await runWorkloadDuring(deployment, async () => {
    deployment.store.faults.lostAnswers = 1 / 3
    await sleep(4_000)
    deployment.store.faults.lostAnswers = 0
  })
  assertGuarantees(t, deployment, outcome)
})

test.serial('three hosts are drained one after the other without breaking a request', async (t) => {
  const deployment = await startDeployment(t)
  const outcome = await runWorkloadDuring(deployment, async () => {
    for (const host of deployment.hosts.slice(0, 3)) await host.drain()
  })
  assertGuarantees(t, deployment, outcome)
  t.true(outcome.bookings.every((report) => report.end === BookingOutcome.Booked))
  t.is(outcome.bookings.reduce((sum, report) => sum + report.broken, 0), 0, 'no connection broke')
})
