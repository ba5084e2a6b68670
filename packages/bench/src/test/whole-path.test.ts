import test from 'ava'
import { Caller, createStepSamples } from '../lib/caller.js'
import { Deployment, bearerTokenFor } from '../lib/deployment.js'
import { EIGHT_HOSTS } from '../lib/deployment-plan.js'
import { ProcessHost } from '../lib/service-host.js'

const SAMPLES = 64
const GROUP_SIZE = 8
const SAMPLE_TOKENS = 32
const BOOKINGS = 50

test.serial('eight host processes: a step of 64 samples with their weight versions and 50 bookings complete exactly once', async (t) => {
  const deployment = new Deployment(EIGHT_HOSTS, ProcessHost.start)
  t.teardown(async () => await deployment.stop())
  await deployment.start()
  const { addresses } = await (await fetch(`${deployment.urls[0]}/v1/addresses`)).json() as { addresses: Array<{ url: string }> }
  t.is(addresses.length, 8)
  const urls = addresses.map((address) => address.url)

  const trainer = new Caller(urls[0] ?? '', bearerTokenFor('training'))
  t.is((await trainer.openBatch('step-1', 'critique', createStepSamples(SAMPLES, GROUP_SIZE, SAMPLE_TOKENS))).status, 201)
  const bookings = Promise.all(Array.from({ length: BOOKINGS }, async (_, index) => {
    return await new Caller(urls[index % urls.length] ?? '', bearerTokenFor('desk')).book({ pitch: index })
  }))
  const samples = await trainer.readBatch('step-1', SAMPLES)

  t.is(new Set(samples.map((sample) => sample.id)).size, SAMPLES)
  for (const sample of samples) t.deepEqual(sample.weight_versions, [{ version: 1, tokens: SAMPLE_TOKENS }])
  for (const booking of await bookings) t.is(booking.status, 201)
  const booked = deployment.bookings.flatMap((endpoint) => endpoint.bookings.map((booking) => booking.body)).sort()
  t.deepEqual(booked, Array.from({ length: BOOKINGS }, (_, index) => JSON.stringify({ pitch: index })).sort())
})
