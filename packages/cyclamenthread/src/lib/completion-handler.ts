import { EntryKind, LedgerRecordKind, notRun, RefusalReason, RequestOrigin } from '@cyclamenthread/state'
import { CompletionPartKind } from '@cyclamenthread/protocol'
import { deadlineAfter } from '@cyclamenthread/transport'
import * as z from 'zod'
import { admit } from './admission.js'
import { sendJson, sendProblem } from './problem.js'
import { parseJson, readBody } from './request-body.js'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { CompletionOrder } from '@cyclamenthread/coordination'
import type { Completion } from '@cyclamenthread/protocol'
import type { Entry, UsageItem } from '@cyclamenthread/state'
import type { Gateway, RequestContext } from './gateway.js'

/** Default of `max_tokens`. */
const DEFAULT_MAX_TOKENS = 256

/** Maximum size of a response buffered for a slow caller, in bytes; the request is cancelled beyond it. */
const MAX_BUFFERED_BYTES = 1024 * 1024

const commonFields = {
  model: z.string(),
  max_tokens: z.int().positive().max(1_000_000).default(DEFAULT_MAX_TOKENS),
  stream: z.boolean().default(false)
}
const completionSchema = z.looseObject({ ...commonFields, prompt: z.string() })
const chatSchema = z.looseObject({ ...commonFields, messages: z.array(z.object({ role: z.string(), content: z.string() })).min(1) })

/** Common form of plain and chat completion requests. */
interface CompletionRequest {
  readonly model: string
  readonly prompt: string
  readonly maxTokens: number
  readonly stream: boolean
  readonly chat: boolean
}

/** Handles `POST /v1/completions`. */
export async function handleCompletion (gateway: Gateway, request: IncomingMessage, response: ServerResponse, context: RequestContext): Promise<void> {
  const body = await readBody(request, gateway.settings.maxBodyBytes)
  const parsed = body.ok ? parseJson(body.value, completionSchema) : body
  if (!parsed.ok) {
    sendProblem(response, parsed.failure, context.requestId)
    return
  }
  const { model, prompt, max_tokens: maxTokens, stream } = parsed.value
  await runCompletion(gateway, request, response, context, { model, prompt, maxTokens, stream, chat: false })
}

/** Handles `POST /v1/chat/completions`. */
export async function handleChat (gateway: Gateway, request: IncomingMessage, response: ServerResponse, context: RequestContext): Promise<void> {
  const body = await readBody(request, gateway.settings.maxBodyBytes)
  const parsed = body.ok ? parseJson(body.value, chatSchema) : body
  if (!parsed.ok) {
    sendProblem(response, parsed.failure, context.requestId)
    return
  }
  const { model, messages, max_tokens: maxTokens, stream } = parsed.value
  const prompt = messages.map((message) => `${message.role}: ${message.content}`).join('\n')
  await runCompletion(gateway, request, response, context, { model, prompt, maxTokens, stream, chat: true })
}

async function runCompletion (gateway: Gateway, request: IncomingMessage, response: ServerResponse, context: RequestContext, options: CompletionRequest): Promise<void> {
  const admitted = admit(context, request, options.model)
  if (!admitted.ok) {
    sendProblem(response, admitted.failure, context.requestId)
    return
  }
  const { caller, entry } = admitted.value
  if (entry.kind !== EntryKind.Model) {
    sendProblem(response, notRun(RefusalReason.BadRequest, `${entry.name} is not a model`), context.requestId)
    return
  }
  const order: CompletionOrder = {
    requestId: context.requestId,
    origin: RequestOrigin.Caller,
    workspace: caller.workspace,
    entry,
    prompt: options.prompt,
    maxTokens: options.maxTokens,
    expectedTokens: options.maxTokens,
    deadline: deadlineAfter(entry.timeoutMs),
    traceparent: context.traceparent,
    signal: context.signal
  }
  if (options.stream) await respondStreamed(gateway, response, order, options, context)
  else await respondWhole(gateway, response, order, options, context)
}

async function respondWhole (gateway: Gateway, response: ServerResponse, order: CompletionOrder, options: CompletionRequest, context: RequestContext): Promise<void> {
  const result = await gateway.completions.run(order)
  if (!result.ok) {
    sendProblem(response, context.keyWatch.explainRefusal(result.refusal), order.requestId)
    return
  }
  recordUsage(gateway, order, result.completion)
  response.setHeader('x-request-id', order.requestId)
  sendJson(response, 200, toCompletionDocument(order.requestId, order.entry, result.completion, options.chat))
}

async function respondStreamed (gateway: Gateway, response: ServerResponse, order: CompletionOrder, options: CompletionRequest, context: RequestContext): Promise<void> {
  const result = await gateway.completions.run({
    ...order,
    onPart: (part) => {
      if (part.kind !== CompletionPartKind.Text) return
      startEventStream(response, order.requestId)
      response.write(formatEvent(toChunkDocument(order, part.text, part.version, options.chat)))
      if (response.writableLength > MAX_BUFFERED_BYTES) context.cancel()
    }
  })
  if (!result.ok) {
    // After the first chunk was sent, the response can't become a problem document: closing the connection
    // before the end of the stream tells the caller that the response is incomplete.
    sendProblem(response, context.keyWatch.explainRefusal(result.refusal), order.requestId)
    return
  }
  startEventStream(response, order.requestId)
  recordUsage(gateway, order, result.completion)
  response.write(formatEvent(toLastChunkDocument(order, result.completion, options.chat)))
  response.end('data: [DONE]\n\n')
}

function startEventStream (response: ServerResponse, requestId: string): void {
  if (response.headersSent) return
  response.writeHead(200, { 'content-type': 'text/event-stream', 'cache-control': 'no-store', 'x-request-id': requestId })
}

function formatEvent (value: unknown): string {
  return `data: ${JSON.stringify(value)}\n\n`
}

function toChunkDocument (order: CompletionOrder, text: string, version: number | undefined, chat: boolean): unknown {
  const choice = chat ? { index: 0, delta: { content: text }, finish_reason: null } : { index: 0, text, finish_reason: null }
  return { id: order.requestId, object: objectName(chat, true), model: order.entry.name, choices: [choice], weight_version: version }
}

function toLastChunkDocument (order: CompletionOrder, completion: Completion, chat: boolean): unknown {
  const choice = chat ? { index: 0, delta: {}, finish_reason: completion.finishReason } : { index: 0, text: '', finish_reason: completion.finishReason }
  return { id: order.requestId, object: objectName(chat, true), model: order.entry.name, choices: [choice], usage: toUsageDocument(completion), weight_versions: completion.versions }
}

function toCompletionDocument (requestId: string, entry: Entry, completion: Completion, chat: boolean): unknown {
  const choice = chat
    ? { index: 0, message: { role: 'assistant', content: completion.text }, finish_reason: completion.finishReason }
    : { index: 0, text: completion.text, finish_reason: completion.finishReason }
  return { id: requestId, object: objectName(chat, false), model: entry.name, choices: [choice], usage: toUsageDocument(completion), weight_versions: completion.versions }
}

function objectName (chat: boolean, streamed: boolean): string {
  if (!chat) return 'text_completion'
  return streamed ? 'chat.completion.chunk' : 'chat.completion'
}

function toUsageDocument (completion: Completion): unknown {
  const { promptTokens, answerTokens } = completion
  return { prompt_tokens: promptTokens, completion_tokens: answerTokens, total_tokens: promptTokens + answerTokens }
}

/** Records usage after the response, so that the caller doesn't wait for the store. */
function recordUsage (gateway: Gateway, order: CompletionOrder, completion: Completion): void {
  const usage: UsageItem = {
    requestId: order.requestId,
    workspace: order.workspace.name,
    entry: order.entry.name,
    promptTokens: completion.promptTokens,
    answerTokens: completion.answerTokens,
    calls: 0
  }
  const partition = gateway.ledger.partitionOf(`usage/${order.requestId}`)
  void gateway.writeBehind.add(partition, { kind: LedgerRecordKind.Usage, usage })
}
