import { failure, notRun, RefusalReason, success } from '@cyclamenthread/state'
import type { IncomingMessage } from 'node:http'
import type * as z from 'zod'
import type { Outcome, Refusal } from '@cyclamenthread/state'

/**
 * Reads the complete body of a request.
 *
 * @param request the request
 * @param maxBytes maximum size of the body, in bytes
 * @example
 * const body = await readBody(request, 1_048_576)
 */
export async function readBody (request: IncomingMessage, maxBytes: number): Promise<Outcome<Buffer, Refusal>> {
  const tooLarge = failure(notRun(RefusalReason.TooLarge, `the body exceeds ${maxBytes} bytes`))
  if (Number(request.headers['content-length'] ?? 0) > maxBytes) return tooLarge
  const chunks: Buffer[] = []
  let size = 0
  try {
    for await (const chunk of request as AsyncIterable<Buffer>) {
      size += chunk.length
      if (size > maxBytes) return tooLarge
      chunks.push(chunk)
    }
  } catch {
    return failure(notRun(RefusalReason.Cancelled, 'the connection closed before the request was complete'))
  }
  return success(Buffer.concat(chunks, size))
}

/**
 * Parses a JSON body and validates it against a schema. A refusal lists all issues.
 *
 * @example
 * const order = parseJson(body, batchRequestSchema)
 */
export function parseJson<Schema extends z.ZodType> (body: Buffer, schema: Schema): Outcome<z.infer<Schema>, Refusal> {
  let value: unknown
  try {
    value = JSON.parse(body.toString('utf8'))
  } catch {
    return failure(notRun(RefusalReason.BadRequest, 'the body is not valid JSON'))
  }
  const parsed = schema.safeParse(value)
  if (parsed.success) return success(parsed.data)
  const faults = parsed.error.issues.map((issue) => `${issue.path.join('.') || 'body'}: ${issue.message}`)
  return failure(notRun(RefusalReason.BadRequest, faults.join('; ')))
}
