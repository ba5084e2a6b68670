// One engine sends a few of its answers a second time, late: at the point where the next answer on the connection is due.
// In each step, one item fails twice with 500 and would be completed by its third run.
import { join } from 'node:path'
import { answer, configuration, Exit, isTroubled, ROUTE_HOST, runCase, send, sleep } from '../lib-3/harness.mjs'

const STEPS = 8
const STEP_PERIOD_MS = 5_000

/** Items of a step, in groups of four, which two engines share. */
const ITEMS = 160

/** Answers of 500 to the item that fails, and the attempts of its route. */
const FAILED_RUNS = 2
const MAX_ATTEMPTS = 3

const EVENTS = 5
const EVENT_MS = 10

/** Time after which the item fails, in milliseconds: the others have ended. */
const FAILURE_MS = 1_000

/** Share of the answers of the faulty engine in the last seconds that it may send twice. */
const MAX_COPIED_SHARE = 0.03
const SPAN_MS = 5_000

await runCase(join(import.meta.dirname, 'record.txt'), async (deployment, record) => {
  const { hosts, store } = deployment
  store.put('config', 'main', configuration())
  const runs = new Map()
  const failures = new Map()
  const answers = []
  const copies = new WeakMap()
  let faulty
  let copied = 0
  const recent = (list) => list.filter(({ at, engine }) => engine === faulty && at > performance.now() - SPAN_MS)
  const onRun = async ({ engine, id, headers, request: { socket }, response, own }) => {
    const copy = copies.get(socket)
    if (copy !== undefined) {
      copies.delete(socket)
      socket.write(copy)
      copied += 1
      record.add(`${engine.options.id} sends its answer of 500 once more, where the answer to ${id} is due`)
    }
    const run = (runs.get(id) ?? 0) + 1
    runs.set(id, run)
    const isFailing = id.endsWith('-0') && (failures.get(id) ?? 0) < FAILED_RUNS
    if (id.endsWith('-0')) record.add(`${id} runs at ${engine.options.id}: run ${run}, after event ${headers['last-event-id'] ?? 0}`)
    if (isFailing) {
      await sleep(FAILURE_MS)
      if (response.destroyed) return
      failures.set(id, (failures.get(id) ?? 0) + 1)
      answers.push({ at: performance.now(), engine, isCopied: false })
      record.add(`${id} fails at ${engine.options.id} with 500: answer ${failures.get(id)}`)
      response.writeHead(500, { ...own, 'X-Cyclamenthread-Server-Seal': `seal.${id}`, 'Content-Length': 6 }).end('failed')
      faulty ??= engine
      const made = recent(answers)
      const isWithinShare = (made.filter(({ isCopied }) => isCopied).length + 1) <= made.length * MAX_COPIED_SHARE
      if (!isTroubled || engine !== faulty || !isWithinShare) return
      answers.at(-1).isCopied = true
      copies.set(socket, `HTTP/1.1 500 Internal Server Error\r\nX-Cyclamenthread-Attempt-Id: ${id}\r\nX-Cyclamenthread-Server-Seal: seal.${id}\r\nContent-Length: 6\r\n\r\nfailed`)
      return
    }
    response.writeHead(200, { ...own, 'content-type': 'text/event-stream', 'X-Cyclamenthread-Weight-Versions': '1' })
    for (let event = Number(headers['last-event-id'] ?? 0) + 1; event <= EVENTS; event += 1) {
      await sleep(EVENT_MS)
      if (response.destroyed) return
      response.write(`id: ${event}\ndata: ${id}#${event}\n\n`)
    }
    answers.push({ at: performance.now(), engine, isCopied: false })
    response.end()
  }
  await deployment.addEngine({ id: 'i-desk', service: 'desk', zone: 'leith-walk', onRun: (run) => answer(run) })
  await deployment.addEngine({ id: 'i-1', service: 'models', zone: 'leith-walk', models: ['m0'], onRun })
  await deployment.addEngine({ id: 'i-2', service: 'models', zone: 'grassmarket', models: ['m0'], onRun })
  await deployment.start(3)
  if (!await deployment.ready()) return Exit.NotRun
  await sleep(2_500)

  const headers = { host: ROUTE_HOST, 'X-Cyclamenthread-Credential': 'key-alpha' }
  let broken = 0
  for (let step = 0; step < STEPS; step += 1) {
    const startedAt = performance.now()
    faulty = undefined
    const job = `job${step}`
    const items = Array.from({ length: ITEMS }, (_, index) => ({
      id: `${job}-${index}`,
      path: `/drafts/x/${index}`,
      headers: { 'X-Cyclamenthread-Model': 'm0', 'X-Cyclamenthread-Token-Usage': '540,400' },
      body: 'q83vEjRWeJA=',
      tokenCount: 940,
      groupId: `g${Math.floor(index / 4)}`
    }))
    const host = hosts[step % hosts.length].front
    const submitted = await send(host, 'POST', `/drafts/${job}`, { ...headers, 'X-Cyclamenthread-Attempt-Id': job }, JSON.stringify({ step, model: 'm0', minVersion: 1, targetGroups: ITEMS / 4, items }))
    record.add(`${job} submitted: ${submitted?.status}`)
    const results = []
    while (results.length < ITEMS && performance.now() < startedAt + 12_000) {
      const page = await send(host, 'GET', `/-/lots/${job}?after=${results.length}`, { ...headers, 'X-Cyclamenthread-Wait-Ms': '1000' })
      if (page?.status === 200) results.push(...JSON.parse(page.body.toString()).results)
      else await sleep(200)
    }
    const whole = (id) => Array.from({ length: EVENTS }, (_, index) => `${id}#${index + 1}`).join('\n')
    const wrong = results.filter(({ id, state, output }) => state === 'abandoned' ? (failures.get(id) ?? 0) < MAX_ATTEMPTS : output !== whole(id))
    for (const { id, state } of wrong) record.add(`BROKEN: ${id} is listed as ${state} after ${failures.get(id) ?? 0} answers of 500`)
    broken += wrong.length
    const made = recent(answers)
    record.add(`${job}: ${results.length} of ${ITEMS} results; the faulty engine gave ${made.length} answers in the last ${SPAN_MS} ms, ${made.filter(({ isCopied }) => isCopied).length} of them to be sent twice`)
    await send(host, 'DELETE', `/-/lots/${job}`, headers)
    await sleep(startedAt + STEP_PERIOD_MS - performance.now())
  }
  record.add(`${copied} answers were sent twice; ${broken} results are wrong`)
  return broken > 0 ? Exit.Broken : Exit.Held
})
