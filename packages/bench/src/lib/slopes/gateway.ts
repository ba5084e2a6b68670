import { Caller } from '../caller.js'
import { Deployment, bearerTokenFor } from '../deployment.js'
import { EIGHT_HOSTS } from '../deployment-plan.js'
import { readHostMetrics } from '../host-metrics.js'
import { runOpenLoop } from '../open-loop.js'
import { ProcessHost } from '../service-host.js'
import type { HostMetrics } from '../host-metrics.js'

/** Measured rates, in requests per second over eight hosts. */
const RATES: readonly number[] = [8, 40, 80, 160, 320]

/** Duration of each rate, in seconds. */
const HOLD_SECONDS = 10

/** Warm-up run, after which the code is JIT-compiled. */
const WARM_UP = { rate: 160, seconds: 10 } as const

/** Tokens per answer. */
const ANSWER_TOKENS = 64

/** Resources that a host uses at one request rate, averaged over the hosts. */
export interface GatewaySlopeRow {
  /** Requests per second and host. */
  readonly requestsPerSecond: number
  /** Processor time in microseconds per second, including the forwarding of payload. */
  readonly cpuMicrosPerSecond: number
  readonly controlBytesSentPerSecond: number
  readonly controlBytesReceivedPerSecond: number
  readonly storeCallsPerSecond: number
  readonly residentMegabytes: number
  readonly failed: number
}

/** Measures hosts in their own processes at increasing rates of completions. */
export async function measureGateway (): Promise<GatewaySlopeRow[]> {
  const deployment = new Deployment(EIGHT_HOSTS, ProcessHost.start)
  await deployment.start()
  const rows: GatewaySlopeRow[] = []
  await runOpenLoop(WARM_UP.rate, WARM_UP.seconds, async (index) => await sendCompletion(deployment, index))
  for (const rate of RATES) rows.push(await measureRate(deployment, rate))
  await deployment.stop()
  return rows
}

async function measureRate (deployment: Deployment, rate: number): Promise<GatewaySlopeRow> {
  const before = await Promise.all(deployment.urls.map(readHostMetrics))
  const result = await runOpenLoop(rate, HOLD_SECONDS, async (index) => await sendCompletion(deployment, index))
  const after = await Promise.all(deployment.urls.map(readHostMetrics))
  const perSecond = (read: (metrics: HostMetrics) => number): number => {
    return (sumOverHosts(after, read) - sumOverHosts(before, read)) / after.length / result.seconds
  }
  return {
    requestsPerSecond: rate / after.length,
    cpuMicrosPerSecond: 1e6 * perSecond((metrics) => metrics.cpuSeconds),
    controlBytesSentPerSecond: perSecond((metrics) => metrics.controlBytesSent),
    controlBytesReceivedPerSecond: perSecond((metrics) => metrics.controlBytesReceived),
    storeCallsPerSecond: perSecond((metrics) => metrics.storeCalls),
    residentMegabytes: sumOverHosts(after, (metrics) => metrics.residentBytes) / after.length / 2 ** 20,
    failed: result.failed
  }
}

async function sendCompletion (deployment: Deployment, index: number): Promise<boolean> {
  const url = deployment.urls[index % deployment.urls.length] ?? ''
  const answer = await new Caller(url, bearerTokenFor('desk')).send('POST', '/v1/completions', { model: 'answers', prompt: `question ${index}`, max_tokens: ANSWER_TOKENS })
  return answer.status === 200
}

function sumOverHosts (metrics: readonly HostMetrics[], read: (metrics: HostMetrics) => number): number {
  return metrics.reduce((sum, item) => sum + read(item), 0)
}
