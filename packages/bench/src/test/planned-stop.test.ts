import test from 'ava'
import { Caller } from '../lib/caller.js'
import { Deployment, bearerTokenFor } from '../lib/deployment.js'
import { SINGLE_HOST } from '../lib/deployment-plan.js'
import { ProcessHost } from '../lib/service-host.js'
import type { DeploymentPlan } from '../lib/deployment-plan.js'

/** One host leaves, the other takes over what it owned. */
const TWO_HOSTS: DeploymentPlan = { ...SINGLE_HOST, domains: SINGLE_HOST.domains.map((domain) => ({ ...domain, hosts: 2 })) }

/** How long the endpoint holds its answer back, in milliseconds: far longer than the address life of the deployment. */
const ANSWER_DELAY_MS = 3_000

test.serial('SIGTERM, sent twice, cuts off no request: the answer comes whole, then the process ends', async (t) => {
  const deployment = new Deployment(TWO_HOSTS, ProcessHost.start)
  t.teardown(async () => await deployment.stop())
  await deployment.start()
  const [host] = deployment.hosts
  const [endpoint] = deployment.bookings
  if (!(host instanceof ProcessHost) || endpoint === undefined) return t.fail('the deployment has a process and a booking endpoint')
  endpoint.faults.delayMs = ANSWER_DELAY_MS
  const answer = new Caller(deployment.urls[0] ?? '', bearerTokenFor('desk')).book({ pitch: 1 })
  while (endpoint.bookings.length === 0) await new Promise((resolve) => setTimeout(resolve, 20))
  host.sendSignal('SIGTERM')
  await new Promise((resolve) => setTimeout(resolve, 100))
  host.sendSignal('SIGTERM')
  t.deepEqual([(await answer).status, endpoint.bookings.length], [201, 1])
  await host.drain()
})
