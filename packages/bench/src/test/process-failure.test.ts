import test from 'ava'
import { AddressBook } from '../lib/address-book.js'
import { stepOf } from '../lib/caller.js'
import { Deployment, tokenOf } from '../lib/deployment.js'
import { TODAY } from '../lib/deployment-plan.js'
import { BookingEnd, PersistentCaller } from '../lib/persistent-caller.js'
import { seededRandom } from '../lib/random.js'
import { ProcessHost } from '../lib/service-host.js'
import type { ExecutionContext } from 'ava'
import type { BookingReport } from '../lib/persistent-caller.js'
import type { DeliveredSample } from '../lib/caller.js'

const SEED = 4_112
const SAMPLES = 64
const GROUP_SIZE = 8
const SAMPLE_TOKENS = 64
const BOOKINGS = 60
const TRIES = 300
const BOOKING_PERIOD_MS = 50

/** What callers saw while a fault ran. */
interface Outcome {
  readonly samples: readonly DeliveredSample[]
  readonly bookings: readonly BookingReport[]
}

/** Runs a step and bookings while a fault is caused, and waits for all of them. */
async function workWhile (deployment: Deployment, fault: () => Promise<void>): Promise<Outcome> {
  const addresses = new AddressBook(deployment.urls)
  const trainer = new PersistentCaller(addresses, tokenOf('training'))
  const desk = new PersistentCaller(addresses, tokenOf('desk'))
  await trainer.openBatch('step', 'critique', stepOf(SAMPLES, GROUP_SIZE, SAMPLE_TOKENS), TRIES)
  const faulted = fault()
  const bookings = Promise.all(Array.from({ length: BOOKINGS }, async (_, index) => {
    await sleep(index * BOOKING_PERIOD_MS)
    return await desk.book({ pitch: index }, `pitch-${index}`, TRIES)
  }))
  const samples = await trainer.readBatch('step', SAMPLES, TRIES)
  await faulted
  return { samples, bookings: await bookings }
}

/** The promises that hold whatever the fault was. */
function assertPromises (t: ExecutionContext, deployment: Deployment, outcome: Outcome): void {
  t.is(outcome.samples.length, SAMPLES, 'a step is whole')
  t.is(new Set(outcome.samples.map((sample) => sample.id)).size, SAMPLES, 'each sample is delivered once')
  for (const sample of outcome.samples) {
    t.is(sample.weight_versions.reduce((sum, span) => sum + span.tokens, 0), SAMPLE_TOKENS, 'each sample is whole and names its versions')
  }
  const perKey = new Map<string, number>()
  for (const booking of deployment.bookings.flatMap((endpoint) => endpoint.bookings)) {
    perKey.set(booking.idempotencyKey, (perKey.get(booking.idempotencyKey) ?? 0) + 1)
  }
  for (const [key, count] of perKey) t.is(count, 1, `${key} is booked once`)
  for (const [index, report] of outcome.bookings.entries()) {
    if (report.end === BookingEnd.Booked) t.true(perKey.has(`pitch-${index}`), 'what was answered as booked is booked')
    if (report.end === BookingEnd.NotRun) t.false(perKey.has(`pitch-${index}`), 'what was answered as not run did not run')
  }
}

async function sleep (milliseconds: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, milliseconds))
}

async function started (t: ExecutionContext, random = seededRandom(SEED)): Promise<Deployment> {
  const deployment = new Deployment({ ...TODAY, tokenMs: 4 }, ProcessHost.start, random)
  t.teardown(async () => await deployment.stop())
  await deployment.start()
  return deployment
}

test.serial('two hosts are killed in mid-step', async (t) => {
  const deployment = await started(t)
  const outcome = await workWhile(deployment, async () => {
    await sleep(300)
    await Promise.all([deployment.hosts[0]?.kill(), deployment.hosts[4]?.kill()])
  })
  assertPromises(t, deployment, outcome)
})

test.serial('every host in turn is frozen for a while and goes on', async (t) => {
  const deployment = await started(t)
  const outcome = await workWhile(deployment, async () => {
    for (const host of deployment.hosts.slice(0, 3) as ProcessHost[]) {
      host.signal('SIGSTOP')
      await sleep(4_000)
      host.signal('SIGCONT')
      await sleep(200)
    }
  })
  assertPromises(t, deployment, outcome)
})

test.serial('the store goes down for a while', async (t) => {
  const deployment = await started(t)
  const outcome = await workWhile(deployment, async () => {
    await sleep(200)
    deployment.store.faults.down = true
    await sleep(5_000)
    deployment.store.faults.down = false
  })
  assertPromises(t, deployment, outcome)
  t.true(outcome.bookings.every((report) => report.end === BookingEnd.Booked), 'all bookings get through once the store is back')
})

test.serial(`a third of the store's answers are lost after the write (seed ${SEED})`, async (t) => {
  const deployment = await started(t)
  const outcome = await workWhile(deployment, async () => {
    deployment.store.faults.lostAnswers = 1 / 3
    await sleep(4_000)
    deployment.store.faults.lostAnswers = 0
  })
  assertPromises(t, deployment, outcome)
})

test.serial('hosts are stopped in turn as planned: no request is cut off', async (t) => {
  const deployment = await started(t)
  const outcome = await workWhile(deployment, async () => {
    for (const host of deployment.hosts.slice(0, 3)) await host.drain()
  })
  assertPromises(t, deployment, outcome)
  t.true(outcome.bookings.every((report) => report.end === BookingEnd.Booked))
  t.is(outcome.bookings.reduce((sum, report) => sum + report.broken, 0), 0, 'no connection broke')
})
