import test from 'ava'
import { FencingSupport } from '@cyclamenthread/state'
import { CompletionBuilder, EndpointClient, EndpointOrderKind, OrderStatus } from '@cyclamenthread/protocol'
import { deadlineAfter } from '@cyclamenthread/transport'
import { EngineStandin } from '../lib/engine-standin.js'
import { answerText } from '../lib/engine-stream-standin.js'
import { WeightStoreStandin } from '../lib/weight-store-standin.js'
import type { Endpoint } from '@cyclamenthread/state'
import type { Completion, CompletionCall } from '@cyclamenthread/protocol'
import type { EngineSettings } from '../lib/engine-settings-standin.js'

const PROMPT = 'chalk '.repeat(40)

/** Time of a token where a test acts in mid-stream: a loaded machine must not end the stream before that. */
const SLOW_TOKEN_MS = 30

const call = { requestId: 'r', prompt: PROMPT, maxTokens: 64, traceparent: '' }

async function startEngine (settings: Partial<EngineSettings> = {}): Promise<{ readonly engine: EngineStandin, readonly endpoint: Endpoint, readonly client: EndpointClient }> {
  const engine = new EngineStandin({ slots: 2, tokenMs: 1, prefillMs: 0, checksFencing: true, ...settings })
  const url = await engine.listen()
  return { engine, endpoint: { id: 'e', url, region: 'r', failureDomain: 'd', slots: 2, cheap: false, fencing: FencingSupport.Checked }, client: new EndpointClient() }
}

async function runCompletion (client: EndpointClient, endpoint: Endpoint, part: Partial<CompletionCall> = {}): Promise<Completion | undefined> {
  const builder = new CompletionBuilder()
  for await (const piece of client.streamCompletion(endpoint, { ...call, deadline: deadlineAfter(10_000), ...part })) builder.add(piece)
  return builder.completion
}

test('a change of weights in mid-stream names both versions', async (t) => {
  const { engine, endpoint, client } = await startEngine({ tokenMs: SLOW_TOKEN_MS })
  const running = runCompletion(client, endpoint)
  while (engine.counts.tokens < 16) await new Promise((resolve) => setTimeout(resolve, 1))
  engine.setWeightVersion(2)
  const versions = (await running)?.versions ?? []
  t.deepEqual(versions.map((span) => span.version), [1, 2])
  t.is(versions.reduce((sum, span) => sum + span.tokens, 0), 64)
  await engine.close()
})

test('a cached prefix costs no prefill, and a full cache evicts', async (t) => {
  const { engine, endpoint, client } = await startEngine({ cacheBlocks: 3 })
  await runCompletion(client, endpoint)
  t.is(engine.counts.prefilledTokens, 60)
  await runCompletion(client, endpoint)
  t.is(engine.counts.prefilledTokens, 60 + 12)
  await runCompletion(client, endpoint, { prompt: 'other '.repeat(40) })
  await runCompletion(client, endpoint)
  t.is(engine.counts.prefilledTokens, 60 + 12 + 60 + 60)
  const changes = await client.readCacheChanges(endpoint, 0, deadlineAfter(5_000)) ?? []
  t.is(changes.filter((change) => change.kind === 'evicted').length, 6)
  await engine.close()
})

test('cache events come late and with gaps', async (t) => {
  const late = await startEngine({ cacheEventDelayMs: 60_000 })
  await runCompletion(late.client, late.endpoint)
  t.deepEqual(await late.client.readCacheChanges(late.endpoint, 0, deadlineAfter(5_000)), [])
  const gapped = await startEngine({ cacheEventLossRatio: 1, random: () => 0 })
  await runCompletion(gapped.client, gapped.endpoint)
  t.deepEqual(await gapped.client.readCacheChanges(gapped.endpoint, 0, deadlineAfter(5_000)), [])
  await late.engine.close()
  await gapped.engine.close()
})

test('a stream goes on elsewhere from its exported KV cache without prefill', async (t) => {
  const first = await startEngine({ tokenMs: SLOW_TOKEN_MS })
  const second = await startEngine()
  const abort = new AbortController()
  const cut = runCompletion(first.client, first.endpoint, { signal: abort.signal })
  while (first.engine.counts.tokens < 16) await new Promise((resolve) => setTimeout(resolve, 1))
  const resume = await first.client.exportKv(first.endpoint, 'r', deadlineAfter(5_000))
  abort.abort()
  await cut
  if (resume === undefined) return t.fail('nothing was exported')
  const rest = await runCompletion(second.client, second.endpoint, { resume })
  t.is(resume.text + (rest?.text ?? ''), answerText(PROMPT, 0, 64))
  t.is(second.engine.counts.prefilledTokens, 0)
  t.is(second.engine.counts.tokens, 64 - resume.tokens)
  await first.engine.close()
  await second.engine.close()
})

test('an old fencing number is refused by an engine that checks, and obeyed by one that does not', async (t) => {
  for (const checksFencing of [true, false]) {
    const { engine, endpoint, client } = await startEngine({ checksFencing })
    const order = { kind: EndpointOrderKind.LoadWeights, pool: 'engines' } as const
    t.is(await client.sendOrder(endpoint, { ...order, version: 3, fence: 2 }, deadlineAfter(5_000)), OrderStatus.Accepted)
    t.is(await client.sendOrder(endpoint, { ...order, version: 2, fence: 1 }, deadlineAfter(5_000)), checksFencing ? OrderStatus.Fenced : OrderStatus.Accepted)
    t.is(engine.version, checksFencing ? 3 : 2)
    await engine.close()
  }
})

test('weights are fetched from the weight store, and a failed swap leaves the old version', async (t) => {
  const store = new WeightStoreStandin(100)
  const weightStoreUrl = await store.listen()
  const { engine, endpoint, client } = await startEngine({ weightStoreUrl, swapMs: 5 })
  const order = { kind: EndpointOrderKind.LoadWeights, pool: 'engines', fence: 1 } as const
  await client.sendOrder(endpoint, { ...order, version: 2 }, deadlineAfter(5_000))
  while (engine.version !== 2) await new Promise((resolve) => setTimeout(resolve, 2))
  t.is(store.counts.fetches, 1)
  engine.faults.ignoresWeightOrders = true
  t.is(await client.sendOrder(endpoint, { ...order, version: 3 }, deadlineAfter(5_000)), OrderStatus.Accepted)
  t.is((await client.readLoad(endpoint, deadlineAfter(5_000)))?.version, 2)
  await engine.close()
  await store.close()
})

test('a poison prompt takes the engine down, and it comes back with the first weights', async (t) => {
  const { engine, endpoint, client } = await startEngine()
  engine.faults.poison = 'chalk'
  engine.setWeightVersion(4)
  t.is(await runCompletion(client, endpoint), undefined)
  t.true(engine.isCrashed)
  engine.faults.poison = ''
  await engine.restart()
  t.deepEqual((await runCompletion(client, endpoint))?.versions, [{ version: 1, tokens: 64 }])
  await engine.close()
})
