import { consola } from 'consola'
import { Caller, createStepSamples } from './caller.js'
import { Deployment, bearerTokenFor } from './deployment.js'
import { SINGLE_HOST } from './deployment-plan.js'
import { EmbeddedHost } from './service-host.js'

/** Samples in the training step. */
const STEP_SAMPLES = 16

/** Samples per group. */
const GROUP_SIZE = 4

/** Tokens per sample. */
const SAMPLE_TOKENS = 32

/** Timeout for the first usage report that contains the demo's work, in milliseconds. */
const USAGE_WAIT_MS = 20_000

/** Runs a training step and a booking on a single-host deployment in this process and prints the results. */
export async function runDemo (): Promise<void> {
  const deployment = new Deployment(SINGLE_HOST, EmbeddedHost.start)
  await deployment.start()
  const url = deployment.urls[0] ?? ''
  consola.info(`one host, its platform and its endpoints run in this process; callers use ${url}`)
  await showStep(new Caller(url, bearerTokenFor('training')))
  await showBooking(new Caller(url, bearerTokenFor('desk')))
  await showUsage(deployment)
  await deployment.stop()
}

async function showStep (trainer: Caller): Promise<void> {
  await trainer.openBatch('step-1', 'critique', createStepSamples(STEP_SAMPLES, GROUP_SIZE, SAMPLE_TOKENS))
  const samples = await trainer.readBatch('step-1', STEP_SAMPLES)
  consola.success(`step-1: ${samples.length} samples, each delivered once`)
  for (const sample of samples.slice(0, GROUP_SIZE)) {
    const versions = sample.weight_versions.map((span) => `version ${span.version}: ${span.tokens} tokens`).join(', ')
    consola.log(`  ${sample.id} of group ${sample.group}: ${versions}`)
  }
}

async function showBooking (desk: Caller): Promise<void> {
  const first = await desk.book({ square: 'Grassmarket', pitch: 7 }, 'artist-42-pitch-7')
  consola.success(`booking: ${first.status} ${first.body}`)
  const again = await desk.book({ square: 'Grassmarket', pitch: 7 }, 'artist-42-pitch-7')
  consola.success(`the same booking sent again: ${again.status} ${again.body} (from the record: ${String(again.headers['idempotent-replayed'])})`)
  const explanation = await desk.send('GET', `/v1/requests/${String(first.headers['x-request-id'])}/decisions`)
  const { records } = JSON.parse(explanation.body) as { records: Array<{ sequence: number, decision: { kind: string, endpoint: string, waiting: number, reason: string } }> }
  consola.success('explain: the decisions on the booking')
  for (const { sequence, decision } of records) {
    consola.log(`  ${sequence}. ${decision.kind} ${decision.endpoint} (${decision.reason}; ${decision.waiting} waiting)`)
  }
}

async function showUsage (deployment: Deployment): Promise<void> {
  const until = Date.now() + USAGE_WAIT_MS
  for (;;) {
    const report = deployment.platform.reports.find((received) => received.report.totals.length > 0)
    if (report !== undefined) {
      consola.success(`usage window ${report.report.window}, sealed and reported under epoch ${report.epoch}`)
      for (const total of report.report.totals) {
        consola.log(`  ${total.workspace} ${total.entry}: ${total.promptTokens} + ${total.answerTokens} tokens, ${total.calls} calls`)
      }
      return
    }
    if (Date.now() > until) throw new Error('no usage was reported in time')
    await new Promise((resolve) => setTimeout(resolve, 100))
  }
}
