import { ApplyResult, digest, EntryKind, LedgerRecordKind, notRun, RefusalReason } from '@cyclamenthread/state'
import { CommitStatus } from '@cyclamenthread/protocol'
import { deadlineAfter, timeLeft } from '@cyclamenthread/transport'
import * as z from 'zod'
import { admit, authenticate } from './admission.js'
import { sendJson, sendProblem } from './problem.js'
import { parseJson, readBody } from './request-body.js'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { BatchEvent, BatchOrder, LedgerRecord, Refusal } from '@cyclamenthread/state'
import type { CommitResponse } from '@cyclamenthread/protocol'
import type { Gateway, RequestContext } from './gateway.js'

/** Longest a reader of samples waits for the next one before it gets an empty answer, in milliseconds. */
const READ_TIMEOUT_MS = 20_000

/** Most samples read from the owner at once. */
const PAGE_SIZE = 200

/** Longest a commit on a caller's behalf may take, in milliseconds. */
const COMMIT_TIMEOUT_MS = 20_000

const idSchema = z.string().regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$/, 'letters, digits, dots, underscores and dashes, at most 128')
const batchSchema = z.strictObject({
  id: idSchema,
  model: z.string(),
  samples: z.array(z.strictObject({
    id: idSchema,
    group: idSchema,
    prompt: z.string(),
    max_tokens: z.int().positive().max(1_000_000),
    expected_tokens: z.int().positive().optional()
  })).min(1).max(16_384)
})
const acknowledgementSchema = z.strictObject({ cursor: z.int().nonnegative() })

/** Answers `POST /v1/batches`: opens a batch, or resumes one that was opened with the same content. */
export async function handleBatchOpen (gateway: Gateway, request: IncomingMessage, response: ServerResponse, context: RequestContext): Promise<void> {
  const body = await readBody(request, gateway.settings.maxBodyBytes)
  const parsed = body.ok ? parseJson(body.value, batchSchema) : body
  if (!parsed.ok) {
    sendProblem(response, parsed.failure, context.requestId)
    return
  }
  const admitted = admit(context, request, parsed.value.model)
  if (!admitted.ok) {
    sendProblem(response, admitted.failure, context.requestId)
    return
  }
  const { caller, entry } = admitted.value
  const fault = validateBatch(parsed.value, entry.kind)
  if (fault !== undefined) {
    sendProblem(response, notRun(RefusalReason.BadRequest, fault), context.requestId)
    return
  }
  const order: BatchOrder = {
    batchId: parsed.value.id,
    workspace: caller.workspace.name,
    entry: entry.name,
    samples: parsed.value.samples.map((sample) => ({
      sampleId: sample.id,
      group: sample.group,
      prompt: sample.prompt,
      maxTokens: sample.max_tokens,
      expectedTokens: sample.expected_tokens ?? sample.max_tokens
    }))
  }
  const answer = await commitRecord(gateway, context, order.workspace, order.batchId, { kind: LedgerRecordKind.BatchOpen, order, digest: digest(JSON.stringify(order)) })
  const refusal = refusalFromCommit(answer, RefusalReason.BatchChanged, 'a batch of this id was opened with other content')
  if (refusal !== undefined) sendProblem(response, refusal, context.requestId)
  else sendJson(response, answer.results[0] === ApplyResult.Applied ? 201 : 200, { id: order.batchId, samples: order.samples.length })
}

/** Answers `GET /v1/batches/{id}/samples?after=`: samples as NDJSON, in the order of their cursors. */
export async function handleBatchRead (gateway: Gateway, request: IncomingMessage, response: ServerResponse, context: RequestContext): Promise<void> {
  const target = resolveBatchTarget(request, response, context)
  if (target === undefined) return
  const after = Number(new URL(context.url, 'http://local').searchParams.get('after') ?? 0)
  if (!Number.isSafeInteger(after) || after < 0) {
    sendProblem(response, notRun(RefusalReason.BadRequest, 'after: a cursor is a whole number from 0'), context.requestId)
    return
  }
  const deadline = deadlineAfter(READ_TIMEOUT_MS)
  await sendEvents(gateway, response, context, target, after, deadline)
}

/** Answers `POST /v1/batches/{id}/acks`. */
export async function handleBatchAcknowledge (gateway: Gateway, request: IncomingMessage, response: ServerResponse, context: RequestContext): Promise<void> {
  const target = resolveBatchTarget(request, response, context)
  if (target === undefined) return
  const body = await readBody(request, gateway.settings.maxBodyBytes)
  const parsed = body.ok ? parseJson(body.value, acknowledgementSchema) : body
  if (!parsed.ok) {
    sendProblem(response, parsed.failure, context.requestId)
    return
  }
  const { cursor } = parsed.value
  const answer = await commitRecord(gateway, context, target.workspace, target.batchId, { kind: LedgerRecordKind.Acknowledgement, ...target, cursor })
  const refusal = refusalFromCommit(answer, RefusalReason.UnknownBatch, 'there is no such batch, or nothing was delivered up to this cursor')
  if (refusal !== undefined) sendProblem(response, refusal, context.requestId)
  else sendJson(response, 200, { id: target.batchId, acknowledged: cursor })
}

/** Answers `DELETE /v1/batches/{id}`: what was not delivered yet will not be. */
export async function handleBatchCancel (gateway: Gateway, request: IncomingMessage, response: ServerResponse, context: RequestContext): Promise<void> {
  const target = resolveBatchTarget(request, response, context)
  if (target === undefined) return
  const answer = await commitRecord(gateway, context, target.workspace, target.batchId, { kind: LedgerRecordKind.BatchCancel, ...target })
  const refusal = refusalFromCommit(answer, RefusalReason.UnknownBatch, 'there is no such batch')
  if (refusal !== undefined) sendProblem(response, refusal, context.requestId)
  else sendJson(response, 200, { id: target.batchId, cancelled: true })
}

/** A batch of the caller's own workspace. */
interface BatchTarget {
  readonly workspace: string
  readonly batchId: string
}

function resolveBatchTarget (request: IncomingMessage, response: ServerResponse, context: RequestContext): BatchTarget | undefined {
  const caller = authenticate(context, request)
  if (!caller.ok) {
    sendProblem(response, caller.failure, context.requestId)
    return undefined
  }
  const batchId = new URL(context.url, 'http://local').pathname.split('/')[3] ?? ''
  return { workspace: caller.value.workspace.name, batchId }
}

function validateBatch (batch: z.infer<typeof batchSchema>, kind: EntryKind): string | undefined {
  if (kind !== EntryKind.Model) return `${batch.model} is not a model`
  const ids = new Set(batch.samples.map((sample) => sample.id))
  return ids.size === batch.samples.length ? undefined : 'samples: every id may stand only once'
}

async function commitRecord (gateway: Gateway, context: RequestContext, workspace: string, batchId: string, record: LedgerRecord): Promise<CommitResponse> {
  const partition = gateway.ledger.partitionOf(`batch/${workspace}/${batchId}`)
  return await gateway.ledger.commit(partition, [record], { deadline: deadlineAfter(COMMIT_TIMEOUT_MS), traceparent: context.traceparent })
}

function refusalFromCommit (answer: CommitResponse, rejected: RefusalReason, detail: string): Refusal | undefined {
  if (answer.status === CommitStatus.Committed) return undefined
  if (answer.status === CommitStatus.Rejected) return notRun(rejected, detail)
  return notRun(RefusalReason.StoreUnavailable, 'the store can\'t be written; sending the same again is safe', 1000)
}

async function sendEvents (gateway: Gateway, response: ServerResponse, context: RequestContext, target: BatchTarget, after: number, deadline: number): Promise<void> {
  let cursor = after
  while (timeLeft(deadline) > 0 && !context.signal.aborted) {
    const page = { after: cursor, limit: PAGE_SIZE, waitMs: cursor > after ? 0 : timeLeft(deadline) / 2 }
    const read = gateway.ledger.readBatch(target.workspace, target.batchId, page, { deadline, traceparent: context.traceparent, signal: context.signal })
    // An owner in this process goes on waiting; a key that was withdrawn must not.
    const answer = await Promise.race([read, waitForAbort(context.signal)])
    if (answer?.status === 'none') {
      sendProblem(response, notRun(RefusalReason.UnknownBatch, 'there is no such batch'), context.requestId)
      return
    }
    if (answer?.status !== 'found') break
    if (!response.headersSent) response.writeHead(200, { 'content-type': 'application/x-ndjson', 'x-request-id': context.requestId, 'x-batch-total': answer.total })
    for (const event of answer.events) response.write(`${JSON.stringify(toEventDocument(event))}\n`)
    cursor = answer.events.at(-1)?.cursor ?? cursor
    if (answer.events.length === 0) break
  }
  if (response.headersSent) response.end()
  else sendProblem(response, context.keyWatch.explainRefusal(notRun(RefusalReason.StoreUnavailable, 'the owner of the batch can\'t be reached', 1000)), context.requestId)
}

/** Comes when the signal aborts. */
async function waitForAbort (signal: AbortSignal): Promise<undefined> {
  if (signal.aborted) return
  await new Promise((resolve) => signal.addEventListener('abort', resolve, { once: true }))
}

function toEventDocument (event: BatchEvent): unknown {
  if (event.kind === 'failure') return { cursor: event.cursor, id: event.sampleId, failed: event.refusal.reason, detail: event.refusal.detail }
  const { sampleId, group, text, versions, finishReason } = event.sample
  return { cursor: event.cursor, id: sampleId, group, text, weight_versions: versions, finish_reason: finishReason }
}
