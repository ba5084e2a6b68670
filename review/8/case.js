import { randomBytes } from 'node:crypto'
import { fileURLToPath } from 'node:url'
import { runCase } from '../lib-2/case.js'
import { send } from '../lib-2/client.js'
import { DRAFTS, KEY } from '../lib-2/deployment.js'
import { sleep } from '../lib-2/time.js'

/** Time for which clients wait for the answer to a call without a wait, in milliseconds. */
const PATIENCE_MS = 1_500

/** Clients that resend the end of a batch, and the mean pause of each between two calls, in milliseconds. */
const CLIENTS = 16
const PAUSE_MS = 100

/** Bound of the rule, in milliseconds. */
const LOSS_SLACK_MS = 200

/** Items of a batch. */
const ITEMS = 40

/** Number of events of an item: its text ends between 0.3 and 2.7 s after its start. */
function eventCountOf (id) {
  return 5 + Number.parseInt(id.slice(0, 4), 16) % 40
}

function batch () {
  const items = Array.from({ length: ITEMS }, (_, index) => ({
    id: randomBytes(8).toString('hex'),
    path: '/drafts/3/91c4',
    headers: { 'X-Cyclamenthread-Model': 'm0', 'X-Cyclamenthread-Token-Usage': '540,400' },
    body: randomBytes(60).toString('base64'),
    tokenCount: 940,
    groupId: `g${index >> 2}`
  }))
  return JSON.stringify({ step: 0, model: 'm0', minVersion: 1, targetGroups: ITEMS / 4, items })
}

/** With TROUBLE=0 the case does the same without the disruption. */
const isTroubled = process.env.TROUBLE !== '0'

await runCase(fileURLToPath(new URL('record.txt', import.meta.url)), isTroubled, async ({ deployment, record }) => {
  const { store, engines } = deployment
  await deployment.start({ hosts: 5, models: 4, workMs: { models: 60 } })
  for (const engine of engines) engine.eventCount = eventCountOf
  // The only host of its region, so it owns the batch that it accepts.
  const host = deployment.hosts.find(({ place }) => place.region === 'grampian')
  const headers = { 'X-Cyclamenthread-Credential': KEY }
  await sleep(4_000)

  const submit = async () => {
    const id = randomBytes(8).toString('hex')
    const accepted = await send({ address: host.front, method: 'POST', path: `${DRAFTS.prefix}7c41e0`, host: DRAFTS.host, headers: { ...headers, 'X-Cyclamenthread-Attempt-Id': id, 'Content-Type': 'application/json' }, body: batch(), timeoutMs: 4_000 })
    if (accepted.status !== 202) throw new Error(`the batch was not accepted: ${accepted.status ?? accepted.failure}`)
    record.add(`${host.id} accepted batch ${id}`)
    return id
  }
  const end = async (id) => await send({ address: host.front, method: 'DELETE', path: `/-/lots/${id}`, host: DRAFTS.host, headers, timeoutMs: PATIENCE_MS })

  const earlier = await submit()
  await sleep(1_000)
  record.add(`batch ${earlier} is ended: ${(await end(earlier)).status}`)
  await submit()
  const progress = { isOver: false }
  const calls = []
  const resend = async () => {
    while (!progress.isOver) {
      const call = { sentAt: record.elapsedMs }
      calls.push(call)
      call.answer = await end(earlier)
      await sleep(PAUSE_MS * (0.5 + Math.random()))
    }
  }
  const resending = Promise.all(Array.from({ length: CLIENTS }, resend))
  await sleep(1_200)

  // The host is stopped while it lists results: one write in five or so is under way at any time.
  const stoppedAt = await new Promise((resolve) => {
    store.intercept = ({ method, kind, body }) => {
      if (method !== 'POST' || !kind.endsWith('rollout-log') || body.spec.results.length === 0) return
      store.intercept = () => undefined
      if (isTroubled) host.signal('SIGTERM')
      resolve(record.elapsedMs)
    }
  })
  if (isTroubled) record.add(`SIGTERM of ${host.id}`)
  const checks = []
  while (record.elapsedMs < stoppedAt + 3_000) {
    const askedAt = record.elapsedMs
    const answer = await send({ address: `${host.ip}:8406`, path: '/-/readyz', host: 'ready', timeoutMs: 5_000 })
    checks.push({ askedAt, tookMs: answer.tookMs })
    await sleep(50)
  }
  progress.isOver = true
  await resending
  const slowest = checks.reduce((slow, check) => check.tookMs > slow.tookMs ? check : slow)
  record.add(`the slowest readiness check after that was sent at ${slowest.askedAt} ms and answered after ${slowest.tookMs} ms`)

  // Calls that had come before the SIGTERM: what is sent later may not have been read.
  const judged = calls.filter(({ sentAt, answer }) => sentAt < stoppedAt - 5 && sentAt + answer.tookMs > stoppedAt)
  for (const { sentAt, answer } of judged) record.add(`the end resent at ${sentAt} ms: ${answer.status ?? answer.failure} after ${answer.tookMs} ms`)
  const lost = judged.filter(({ answer }) => answer.status === undefined && answer.tookMs > LOSS_SLACK_MS)
  return lost.length === 0 ? undefined : `${lost.length} of ${judged.length} calls that ${host.id} had when its SIGTERM came ended without an answer; for ${slowest.tookMs} ms it answered nothing`
})
