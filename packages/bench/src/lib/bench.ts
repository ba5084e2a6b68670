import { consola } from 'consola'
import meow from 'meow'
import { request } from 'undici'
import { Caller } from './caller.js'
import { Deployment, bearerTokenFor } from './deployment.js'
import { EIGHT_HOSTS } from './deployment-plan.js'
import { readHostMetrics } from './host-metrics.js'
import { runOpenLoop } from './open-loop.js'
import { ProcessHost } from './service-host.js'
import type { HostMetrics } from './host-metrics.js'
import type { OpenLoopResult } from './open-loop.js'

/** Time for which load runs before the measurement, so that connections are open and code is compiled, in seconds. */
const WARM_UP_SECONDS = 8

/** Tokens per answer. */
const ANSWER_TOKENS = 8

/** Target for the median latency that the service adds within a failure domain, in milliseconds. */
const MAX_ADDED_P50_MS = 2

/** Throughput and latency of one variant: direct calls, or calls through the service. */
interface BenchRow {
  readonly variant: string
  readonly perSecond: number
  readonly p50Ms: number
  readonly p99Ms: number
  readonly failed: number
}

/** Measures the latency that the service adds to direct calls of an endpoint, both in one run. */
export async function runBench (): Promise<void> {
  const cli = meow('\n  Usage\n    $ npm run bench -- --rate 200 --seconds 10\n', {
    importMeta: import.meta,
    flags: { rate: { type: 'number', default: 200 }, seconds: { type: 'number', default: 10 } }
  })
  const { rate, seconds } = cli.flags
  const deployment = new Deployment(EIGHT_HOSTS, ProcessHost.start)
  await deployment.start()
  const viaService = async (index: number): Promise<boolean> => await completeViaService(deployment, index)
  const direct = async (index: number): Promise<boolean> => await completeDirectly(deployment, index)
  await runOpenLoop(rate, WARM_UP_SECONDS, viaService)
  await runOpenLoop(rate, WARM_UP_SECONDS, direct)
  const directResult = await runOpenLoop(rate, seconds, direct)
  const before = await readAllMetrics(deployment)
  const serviceResult = await runOpenLoop(rate, seconds, viaService)
  const after = await readAllMetrics(deployment)
  printLatency(toBenchRow('direct', directResult), toBenchRow('service', serviceResult))
  printHostMetrics(before, after, serviceResult.seconds)
  await deployment.stop()
}

async function completeViaService (deployment: Deployment, index: number): Promise<boolean> {
  const url = deployment.urls[index % deployment.urls.length] ?? ''
  const answer = await new Caller(url, bearerTokenFor('desk')).send('POST', '/v1/completions', { model: 'answers', prompt: `question ${index}`, max_tokens: ANSWER_TOKENS })
  return answer.status === 200
}

async function completeDirectly (deployment: Deployment, index: number): Promise<boolean> {
  const engine = deployment.engines[index % deployment.engines.length]
  const response = await request(`${engine?.url ?? ''}/v1/completions`, {
    method: 'POST',
    body: JSON.stringify({ prompt: `question ${index}`, max_tokens: ANSWER_TOKENS, request_id: String(index), stream: true })
  })
  return (await response.body.text()).endsWith('[DONE]\n\n')
}

async function readAllMetrics (deployment: Deployment): Promise<HostMetrics[]> {
  return await Promise.all(deployment.urls.map(readHostMetrics))
}

function toBenchRow (variant: string, result: OpenLoopResult): BenchRow {
  return {
    variant,
    perSecond: result.finished / result.seconds,
    p50Ms: result.latency.percentile(50),
    p99Ms: result.latency.percentile(99),
    failed: result.failed
  }
}

function printLatency (direct: BenchRow, service: BenchRow): void {
  consola.log('| way | requests/s | p50 ms | p99 ms | failed |\n|---|---|---|---|---|')
  for (const item of [direct, service]) {
    consola.log(`| ${item.variant} | ${item.perSecond.toFixed(1)} | ${item.p50Ms.toFixed(2)} | ${item.p99Ms.toFixed(2)} | ${item.failed} |`)
  }
  const added = service.p50Ms - direct.p50Ms
  consola.log(`| added | | ${added.toFixed(2)} | ${(service.p99Ms - direct.p99Ms).toFixed(2)} | |`)
  consola.log(`target: under ${MAX_ADDED_P50_MS} ms added at the p50: ${added < MAX_ADDED_P50_MS ? 'met' : 'MISSED'}`)
}

function printHostMetrics (before: readonly HostMetrics[], after: readonly HostMetrics[], seconds: number): void {
  consola.log('| host | CPU % | resident MB | control B/s sent | control B/s received | store calls/s |\n|---|---|---|---|---|---|')
  for (const [index, current] of after.entries()) {
    const previous = before[index]
    if (previous === undefined) continue
    const rate = (read: (metrics: HostMetrics) => number): string => ((read(current) - read(previous)) / seconds).toFixed(1)
    const cpu = (100 * (current.cpuSeconds - previous.cpuSeconds) / seconds).toFixed(1)
    const resident = (current.residentBytes / 2 ** 20).toFixed(0)
    consola.log(`| ${index} | ${cpu} | ${resident} | ${rate((metrics) => metrics.controlBytesSent)} | ${rate((metrics) => metrics.controlBytesReceived)} | ${rate((metrics) => metrics.storeCalls)} |`)
  }
}
