import { Socket } from 'node:net'
import test from 'ava'
import { PROOF_VALIDITY_MS } from '@cyclamenthread/state'
import { Caller, createStepSamples } from '../lib/caller.js'
import { Deployment, TEST_WORKSPACES, bearerTokenFor } from '../lib/deployment.js'
import { EIGHT_HOSTS } from '../lib/deployment-plan.js'
import { EmbeddedHost, ProcessHost } from '../lib/service-host.js'
import type { ExecutionContext } from 'ava'
import type { CallerResponse } from '../lib/caller.js'
import type { DeploymentPlan } from '../lib/deployment-plan.js'
import type { HostStarter } from '../lib/deployment.js'

/** Three hosts and one engine with one slot: a long completion runs until it is cancelled and makes others wait. */
const SMALL: DeploymentPlan = {
  ...EIGHT_HOSTS,
  domains: [
    { name: 'leith-walk', region: 'lothian', hosts: 2, engines: 1, bookingEndpoints: 1 },
    { name: 'castlegate', region: 'grampian', hosts: 1, engines: 0, bookingEndpoints: 0 }
  ],
  slotsPerEngine: 1,
  ledgerPartitions: 4
}

async function startDeployment (t: ExecutionContext, plan: DeploymentPlan, starter: HostStarter): Promise<Deployment> {
  const deployment = new Deployment(plan, starter)
  t.teardown(async () => await deployment.stop())
  await deployment.start()
  return deployment
}

async function withdrawKey (deployment: Deployment, workspace: string): Promise<void> {
  const catalogue = deployment.buildCatalogue()
  await deployment.applyCatalogue({ ...catalogue, keys: catalogue.keys.map((key) => key.workspace === workspace ? { ...key, withdrawn: true } : key) })
}

async function waitUntil (condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise((resolve) => setTimeout(resolve, 10))
}

function problemOf (answer: CallerResponse): unknown {
  const { type, ran } = JSON.parse(answer.body) as { type: string, ran: string }
  return { status: answer.status, type: type.split(':').at(-1), ran }
}

test.serial('a key is visible only to the host that the caller connects to', async (t) => {
  const written: Array<{ readonly port: number | undefined, readonly text: string }> = []
  const write = Reflect.get(Socket.prototype, 'write') as (...args: unknown[]) => boolean
  Reflect.set(Socket.prototype, 'write', function (this: Socket, ...args: unknown[]) {
    const [chunk] = args
    written.push({ port: this.remotePort, text: Buffer.isBuffer(chunk) ? chunk.toString('latin1') : String(chunk) })
    return write.apply(this, args)
  })
  t.teardown(() => Reflect.set(Socket.prototype, 'write', write))
  const deployment = await startDeployment(t, SMALL, EmbeddedHost.start)
  const answers: string[] = []
  for (const [index, workspace] of TEST_WORKSPACES.entries()) {
    const caller = new Caller(deployment.urls[index] ?? '', bearerTokenFor(workspace))
    const completion = await caller.send('POST', '/v1/completions', { model: 'answers', prompt: 'a', max_tokens: 8 })
    t.is(completion.status, 200)
    t.is((await caller.book({ pitch: index })).status, 201)
    t.is((await caller.openBatch(`batch-${index}`, 'critique', createStepSamples(2, 2, 8))).status, 201)
    await caller.readBatch(`batch-${index}`, 2)
    const explained = await caller.send('GET', `/v1/requests/${String(completion.headers['x-request-id'])}/decisions`)
    const refused = await new Caller(deployment.urls[index] ?? '', `${bearerTokenFor(workspace)}x`).send('POST', '/v1/completions', { model: 'answers', prompt: 'a' })
    t.is(refused.status, 401)
    answers.push(explained.body, refused.body, JSON.stringify(completion.headers))
  }
  const metrics = await Promise.all(deployment.urls.map(async (url) => await (await fetch(`${url}/metrics`)).text()))
  const objects = deployment.store.keys('').map((key) => key + JSON.stringify(deployment.store.peek(key)))
  const headers = [...deployment.engines, ...deployment.bookings].flatMap((endpoint) => endpoint.receivedHeaders.map((seen) => JSON.stringify(seen)))
  const callerPorts = new Set(deployment.urls.map((url) => Number(new URL(url).port)))
  // Keys may appear only in what callers write to the caller ports.
  const others = written.filter((item) => item.port === undefined || !callerPorts.has(item.port)).map((item) => item.text)
  t.true(written.some((item) => item.text.includes(bearerTokenFor('desk'))), 'the search finds keys where they are expected')
  t.true(headers.length > 0 && others.length > 0 && objects.length > 0)
  const everything = [...answers, ...metrics, ...objects, ...headers, ...others, JSON.stringify(deployment.platform.reports)]
  for (const workspace of TEST_WORKSPACES) {
    t.deepEqual(everything.filter((text) => text.includes(`secret-of-${workspace}`)), [])
  }
})

test.serial('withdrawing a key cancels its queued and running completions and lets a running booking finish', async (t) => {
  const deployment = await startDeployment(t, { ...SMALL, tokenMs: 20 }, EmbeddedHost.start)
  const [engine] = deployment.engines
  const [booking] = deployment.bookings
  if (engine === undefined || booking === undefined) throw new Error('the deployment has no endpoints')
  booking.faults.delayMs = 4_000
  const callers = deployment.urls.map((url) => new Caller(url, bearerTokenFor('desk')))
  const [first, second, third] = callers as [Caller, Caller, Caller]
  const running = first.send('POST', '/v1/completions', { model: 'answers', prompt: 'runs', max_tokens: 100_000 })
  await waitUntil(() => engine.running === 1)
  const queued = second.send('POST', '/v1/completions', { model: 'answers', prompt: 'waits', max_tokens: 100_000 })
  t.is((await third.openBatch('held', 'critique', createStepSamples(1, 1, 8))).status, 201)
  const held = third.send('GET', '/v1/batches/held/samples?after=0')
  const booked = first.book({ pitch: 1 })
  await waitUntil(() => booking.bookings.length === 1)
  await withdrawKey(deployment, 'desk')

  t.deepEqual(problemOf(await running), { status: 401, type: 'unauthorized', ran: 'maybe' })
  t.deepEqual(problemOf(await queued), { status: 401, type: 'unauthorized', ran: 'no' })
  t.like(problemOf(await held), { status: 401, type: 'unauthorized' })
  t.is((await booked).status, 201)
  for (const caller of callers) t.is((await caller.book({ pitch: 2 })).status, 401)
  t.is(booking.bookings.length, 1)
  t.is((await new Caller(deployment.urls[0] ?? '', bearerTokenFor('festival')).book({ pitch: 3 })).status, 201)
})

test.serial('a host that was paused during a key withdrawal runs nothing for that key after it resumes', async (t) => {
  const deployment = await startDeployment(t, SMALL, ProcessHost.start)
  const host = deployment.hosts.at(-1) as ProcessHost
  const caller = new Caller(deployment.urls.at(-1) ?? '', bearerTokenFor('desk'))
  // This booking goes through another host, since a keep-alive connection to the paused one may be closed as idle when it resumes.
  t.is((await new Caller(deployment.urls[0] ?? '', bearerTokenFor('desk')).book({ pitch: 1 })).status, 201)
  host.sendSignal('SIGSTOP')
  const waiting = caller.book({ pitch: 2 })
  await withdrawKey(deployment, 'desk')
  await new Promise((resolve) => setTimeout(resolve, PROOF_VALIDITY_MS + 1_000))
  host.sendSignal('SIGCONT')
  const answer = await waiting
  t.true([401, 503].includes(answer.status), answer.body)
  t.like(JSON.parse(answer.body), { ran: 'no' })
  t.is(deployment.bookings[0]?.bookings.length, 1)
})
