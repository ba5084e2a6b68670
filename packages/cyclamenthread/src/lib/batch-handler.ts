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

/** Maximum time that a read of samples waits for the next one before it returns an empty response, in milliseconds. */
const READ_TIMEOUT_MS = 20_000

/** Maximum number of samples read from the owner at once. */
const PAGE_SIZE = 200

/** Maximum time of a commit on behalf of a caller, in milliseconds. */
const COMMIT_TIMEOUT_MS = 20_000

const idSchema = z.string().regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$/, 'expected at most 128 letters, digits, dots, underscores and dashes, beginning with a letter or digit')
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

/** Handles `POST /v1/batches`: opens a batch, or resumes one that was opened with the same content. */
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
  const refusal = refusalFromCommit(answer, RefusalReason.BatchChanged, 'a batch with this id was opened with different content')
  if (refusal !== undefined) sendProblem(response, refusal, context.requestId)
  else sendJson(response, answer.results[0] === ApplyResult.Applied ? 201 : 200, { id: order.batchId, samples: order.samples.length })
}

/** Handles `GET /v1/batches/{id}/samples?after=`: returns samples as NDJSON, ordered by cursor. */
export async function handleBatchRead (gateway: Gateway, request: IncomingMessage, response: ServerResponse, context: RequestContext): Promise<void> {
  const target = resolveBatchTarget(request, response, context)
  if (target === undefined) return
  const after = Number(new URL(context.url, 'http://local').searchParams.get('after') ?? 0)
  if (!Number.isSafeInteger(after) || after < 0) {
    sendProblem(response, notRun(RefusalReason.BadRequest, 'after: expected a non-negative integer'), context.requestId)
    return
  }
  const deadline = deadlineAfter(READ_TIMEOUT_MS)
  await sendEvents(gateway, response, context, target, after, deadline)
}

/** Handles `POST /v1/batches/{id}/acks`. */
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
  const refusal = refusalFromCommit(answer, RefusalReason.UnknownBatch, 'the batch does not exist, or nothing was delivered up to this cursor')
  if (refusal !== undefined) sendProblem(response, refusal, context.requestId)
  else sendJson(response, 200, { id: target.batchId, acknowledged: cursor })
}

/** Handles `DELETE /v1/batches/{id}`: cancels the batch; samples that haven't been delivered yet won't be. */
export async function handleBatchCancel (gateway: Gateway, request: IncomingMessage, response: ServerResponse, context: RequestContext): Promise<void> {
  const target = resolveBatchTarget(request, response, context)
  if (target === undefined) return
  const answer = await commitRecord(gateway, context, target.workspace, target.batchId, { kind: LedgerRecordKind.BatchCancel, ...target })
  const refusal = refusalFromCommit(answer, RefusalReason.UnknownBatch, 'the batch does not exist')
  if (refusal !== undefined) sendProblem(response, refusal, context.requestId)
  else sendJson(response, 200, { id: target.batchId, cancelled: true })
}

/** Identifies a batch in the caller's workspace. */
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
  return ids.size === batch.samples.length ? undefined : 'samples: ids must be unique'
}

async function commitRecord (gateway: Gateway, context: RequestContext, workspace: string, batchId: string, record: LedgerRecord): Promise<CommitResponse> {
  const partition = gateway.ledger.partitionOf(`batch/${workspace}/${batchId}`)
  return await gateway.ledger.commit(partition, [record], { deadline: deadlineAfter(COMMIT_TIMEOUT_MS), traceparent: context.traceparent })
}

function refusalFromCommit (answer: CommitResponse, rejected: RefusalReason, detail: string): Refusal | undefined {
  if (answer.status === CommitStatus.Committed) return undefined
  if (answer.status === CommitStatus.Rejected) return notRun(rejected, detail)
  return notRun(RefusalReason.StoreUnavailable, 'the store can\'t be written; it is safe to retry the same request', 1000)
}

async function sendEvents (gateway: Gateway, response: ServerResponse, context: RequestContext, target: BatchTarget, after: number, deadline: number): Promise<void> {
  let cursor = after
  while (timeLeft(deadline) > 0 && !context.signal.aborted) {
    const page = { after: cursor, limit: PAGE_SIZE, waitMs: cursor > after ? 0 : timeLeft(deadline) / 2 }
    const read = gateway.ledger.readBatch(target.workspace, target.batchId, page, { deadline, traceparent: context.traceparent, signal: context.signal })
    // If the owner is in this process, its read doesn't end on abort; the request must, for example when its key is withdrawn.
    const answer = await Promise.race([read, waitForAbort(context.signal)])
    if (answer?.status === 'none') {
      sendProblem(response, notRun(RefusalReason.UnknownBatch, 'the batch does not exist'), context.requestId)
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

/** Resolves when the signal aborts. */
async function waitForAbort (signal: AbortSignal): Promise<undefined> {
  if (signal.aborted) return
  await new Promise((resolve) => signal.addEventListener('abort', resolve, { once: true }))
}

function toEventDocument (event: BatchEvent): unknown {
  if (event.kind === 'failure') return { cursor: event.cursor, id: event.sampleId, failed: event.refusal.reason, detail: event.refusal.detail }
  const { sampleId, group, text, versions, finishReason } = event.sample
  return { cursor: event.cursor, id: sampleId, group, text, weight_versions: versions, finish_reason: finishReason }
}
