import test from 'ava'
import { Caller } from '../lib/caller.js'
import { Deployment, bearerTokenFor } from '../lib/deployment.js'
import { SINGLE_HOST } from '../lib/deployment-plan.js'
import { ProcessHost } from '../lib/service-host.js'
import type { DeploymentPlan } from '../lib/deployment-plan.js'

/** Two hosts, so that one can take over what the other owned. */
const TWO_HOSTS: DeploymentPlan = { ...SINGLE_HOST, domains: SINGLE_HOST.domains.map((domain) => ({ ...domain, hosts: 2 })) }

/** Delay of the endpoint's response, in milliseconds; far longer than the deployment's address TTL. */
const ANSWER_DELAY_MS = 3_000

test.serial('a process that gets SIGTERM twice completes its open request before it exits', async (t) => {
  const deployment = new Deployment(TWO_HOSTS, ProcessHost.start)
  t.teardown(async () => await deployment.stop())
  await deployment.start()
  const [host] = deployment.hosts
  const [endpoint] = deployment.bookings
  if (!(host instanceof ProcessHost) || endpoint === undefined) return t.fail('the deployment needs a host process and a booking endpoint')
  endpoint.faults.delayMs = ANSWER_DELAY_MS
  const answer = new Caller(deployment.urls[0] ?? '', bearerTokenFor('desk')).book({ pitch: 1 })
  while (endpoint.bookings.length === 0) await new Promise((resolve) => setTimeout(resolve, 20))
  host.sendSignal('SIGTERM')
  await new Promise((resolve) => setTimeout(resolve, 100))
  host.sendSignal('SIGTERM')
  t.deepEqual([(await answer).status, endpoint.bookings.length], [201, 1])
  await host.drain()
})
