import { ApplyResult, digest, EntryKind, LedgerRecordKind, notRun, RefusalReason } from '@cyclamenthread/state'
import { CommitStatus } from '@cyclamenthread/protocol'
import { deadlineAfter, timeLeft } from '@cyclamenthread/transport'
import * as z from 'zod'
import { admit, authenticate } from './admission.js'
import { sendJson, sendProblem } from './problem.js'
import { parseJson, readBody } from './request-body.js'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { BatchEvent, BatchOrder, LedgerRecord, Refusal } from '@cyclamenthread/state'
import type { CommitAnswer } from '@cyclamenthread/protocol'
import type { Gateway, Hop } from './gateway.js'

/** Longest a reader of samples waits for the next one before it gets an empty answer, in milliseconds. */
const READ_MS = 20_000

/** Most samples read from the owner at once. */
const PAGE_SIZE = 200

/** Longest a commit on a caller's behalf may take, in milliseconds. */
const COMMIT_MS = 20_000

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
export async function handleBatchOpen (gateway: Gateway, request: IncomingMessage, response: ServerResponse, hop: Hop): Promise<void> {
  const body = await readBody(request, gateway.settings.maxBodyBytes)
  const parsed = body.ok ? parseJson(body.value, batchSchema) : body
  if (!parsed.ok) {
    sendProblem(response, parsed.failure, hop.requestId)
    return
  }
  const admitted = admit(hop, request, parsed.value.model)
  if (!admitted.ok) {
    sendProblem(response, admitted.failure, hop.requestId)
    return
  }
  const { caller, entry } = admitted.value
  const fault = batchFault(parsed.value, entry.kind)
  if (fault !== undefined) {
    sendProblem(response, notRun(RefusalReason.BadRequest, fault), hop.requestId)
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
  const answer = await commit(gateway, hop, order.workspace, order.batchId, { kind: LedgerRecordKind.BatchOpen, order, digest: digest(JSON.stringify(order)) })
  const refusal = commitRefusal(answer, RefusalReason.BatchChanged, 'a batch of this id was opened with other content')
  if (refusal !== undefined) sendProblem(response, refusal, hop.requestId)
  else sendJson(response, answer.results[0] === ApplyResult.Applied ? 201 : 200, { id: order.batchId, samples: order.samples.length })
}

/** Answers `GET /v1/batches/{id}/samples?after=`: samples as NDJSON, in the order of their cursors. */
export async function handleBatchRead (gateway: Gateway, request: IncomingMessage, response: ServerResponse, hop: Hop): Promise<void> {
  const target = batchTarget(request, response, hop)
  if (target === undefined) return
  const after = Number(new URL(hop.url, 'http://local').searchParams.get('after') ?? 0)
  if (!Number.isSafeInteger(after) || after < 0) {
    sendProblem(response, notRun(RefusalReason.BadRequest, 'after: a cursor is a whole number from 0'), hop.requestId)
    return
  }
  const deadline = deadlineAfter(READ_MS)
  await sendEvents(gateway, response, hop, target, after, deadline)
}

/** Answers `POST /v1/batches/{id}/acks`. */
export async function handleBatchAcknowledge (gateway: Gateway, request: IncomingMessage, response: ServerResponse, hop: Hop): Promise<void> {
  const target = batchTarget(request, response, hop)
  if (target === undefined) return
  const body = await readBody(request, gateway.settings.maxBodyBytes)
  const parsed = body.ok ? parseJson(body.value, acknowledgementSchema) : body
  if (!parsed.ok) {
    sendProblem(response, parsed.failure, hop.requestId)
    return
  }
  const { cursor } = parsed.value
  const answer = await commit(gateway, hop, target.workspace, target.batchId, { kind: LedgerRecordKind.Acknowledgement, ...target, cursor })
  const refusal = commitRefusal(answer, RefusalReason.UnknownBatch, 'there is no such batch, or nothing was delivered up to this cursor')
  if (refusal !== undefined) sendProblem(response, refusal, hop.requestId)
  else sendJson(response, 200, { id: target.batchId, acknowledged: cursor })
}

/** Answers `DELETE /v1/batches/{id}`: what was not delivered yet will not be. */
export async function handleBatchCancel (gateway: Gateway, request: IncomingMessage, response: ServerResponse, hop: Hop): Promise<void> {
  const target = batchTarget(request, response, hop)
  if (target === undefined) return
  const answer = await commit(gateway, hop, target.workspace, target.batchId, { kind: LedgerRecordKind.BatchCancel, ...target })
  const refusal = commitRefusal(answer, RefusalReason.UnknownBatch, 'there is no such batch')
  if (refusal !== undefined) sendProblem(response, refusal, hop.requestId)
  else sendJson(response, 200, { id: target.batchId, cancelled: true })
}

/** A batch of the caller's own workspace. */
interface BatchTarget {
  readonly workspace: string
  readonly batchId: string
}

function batchTarget (request: IncomingMessage, response: ServerResponse, hop: Hop): BatchTarget | undefined {
  const caller = authenticate(hop, request)
  if (!caller.ok) {
    sendProblem(response, caller.failure, hop.requestId)
    return undefined
  }
  const batchId = new URL(hop.url, 'http://local').pathname.split('/')[3] ?? ''
  return { workspace: caller.value.workspace.name, batchId }
}

function batchFault (batch: z.infer<typeof batchSchema>, kind: EntryKind): string | undefined {
  if (kind !== EntryKind.Model) return `${batch.model} is not a model`
  const ids = new Set(batch.samples.map((sample) => sample.id))
  return ids.size === batch.samples.length ? undefined : 'samples: every id may stand only once'
}

async function commit (gateway: Gateway, hop: Hop, workspace: string, batchId: string, record: LedgerRecord): Promise<CommitAnswer> {
  const partition = gateway.ledger.partitionOf(`batch/${workspace}/${batchId}`)
  return await gateway.ledger.commit(partition, [record], { deadline: deadlineAfter(COMMIT_MS), traceparent: hop.traceparent })
}

function commitRefusal (answer: CommitAnswer, rejected: RefusalReason, detail: string): Refusal | undefined {
  if (answer.status === CommitStatus.Committed) return undefined
  if (answer.status === CommitStatus.Rejected) return notRun(rejected, detail)
  return notRun(RefusalReason.StoreUnavailable, 'the store can\'t be written; sending the same again is safe', 1000)
}

async function sendEvents (gateway: Gateway, response: ServerResponse, hop: Hop, target: BatchTarget, after: number, deadline: number): Promise<void> {
  let cursor = after
  while (timeLeft(deadline) > 0 && !hop.signal.aborted) {
    const page = { after: cursor, limit: PAGE_SIZE, waitMs: cursor > after ? 0 : timeLeft(deadline) / 2 }
    const read = gateway.ledger.readBatch(target.workspace, target.batchId, page, { deadline, traceparent: hop.traceparent, signal: hop.signal })
    // An owner in this process goes on waiting; a key that was withdrawn must not.
    const answer = await Promise.race([read, aborted(hop.signal)])
    if (answer?.status === 'none') {
      sendProblem(response, notRun(RefusalReason.UnknownBatch, 'there is no such batch'), hop.requestId)
      return
    }
    if (answer?.status !== 'found') break
    if (!response.headersSent) response.writeHead(200, { 'content-type': 'application/x-ndjson', 'x-request-id': hop.requestId, 'x-batch-total': answer.total })
    for (const event of answer.events) response.write(`${JSON.stringify(eventDocument(event))}\n`)
    cursor = answer.events.at(-1)?.cursor ?? cursor
    if (answer.events.length === 0) break
  }
  if (response.headersSent) response.end()
  else sendProblem(response, hop.keyHold.explain(notRun(RefusalReason.StoreUnavailable, 'the owner of the batch can\'t be reached', 1000)), hop.requestId)
}

/** Comes when the signal aborts. */
async function aborted (signal: AbortSignal): Promise<undefined> {
  if (signal.aborted) return
  await new Promise((resolve) => signal.addEventListener('abort', resolve, { once: true }))
}

function eventDocument (event: BatchEvent): unknown {
  if (event.kind === 'failure') return { cursor: event.cursor, id: event.sampleId, failed: event.refusal.reason, detail: event.refusal.detail }
  const { sampleId, group, text, versions, finishReason } = event.sample
  return { cursor: event.cursor, id: sampleId, group, text, weight_versions: versions, finish_reason: finishReason }
}
