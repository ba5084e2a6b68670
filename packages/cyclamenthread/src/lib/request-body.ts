import { failure, notRun, RefusalReason, success } from '@cyclamenthread/state'
import { BodyBuffer } from './clients/body-buffer.js'
import { requestBytesLimit } from './clients/client-limits.js'
import { RequestBudget } from './clients/request-budget.js'
import type { BudgetReading, BudgetShare } from './clients/request-budget.js'
import type { IncomingMessage } from 'node:http'
import type * as z from 'zod'
import type { Outcome, Refusal } from '@cyclamenthread/state'

/** What a body may use. */
export interface BodyAdmission {
  /** Takes the memory of the body; whoever opened it releases it. */
  readonly share: BudgetShare
  readonly budget: RequestBudget
  /** Monotonic milliseconds at which the body has to be whole. */
  readonly deadline: number
}

/** Memory for bodies whose readers have no budget of their own. */
let commonBudget: RequestBudget | undefined

/**
 * Reads the complete body of a request. The failure is `TooLarge`, `Overloaded` if its memory
 * doesn't fit, `DeadlineExceeded` if the client was too slow, or `Cancelled` if the connection closed.
 *
 * @param request the request
 * @param maxBytes maximum size of the body, in bytes
 * @param admission memory and time of the body; without it, memory is that of all such bodies while they are read, and time isn't limited
 * @example
 * const body = await readBody(request, 1_048_576)
 */
export async function readBody (request: IncomingMessage, maxBytes: number, admission?: BodyAdmission): Promise<Outcome<Buffer, Refusal>> {
  if (admission !== undefined) return await new BodyReading(request, maxBytes, admission).read()
  commonBudget ??= new RequestBudget(requestBytesLimit())
  commonBudget.setMaxBodyBytes(maxBytes)
  const share = commonBudget.openShare()
  return await new BodyReading(request, maxBytes, { share, budget: commonBudget, deadline: Infinity }).read().finally(() => share.release())
}

/** The reading of one body. */
class BodyReading implements BudgetReading {
  readonly #request: IncomingMessage
  readonly #maxBytes: number
  readonly #admission: BodyAdmission
  readonly #buffer: BodyBuffer
  #lastByteAt = performance.now()
  #finish: (body: Outcome<Buffer, Refusal>) => void = () => {}

  constructor (request: IncomingMessage, maxBytes: number, admission: BodyAdmission) {
    this.#request = request
    this.#maxBytes = maxBytes
    this.#admission = admission
    const stated = request.headers['content-length']
    this.#buffer = new BodyBuffer(admission.share, stated === undefined ? undefined : Number(stated))
  }

  get lastByteAt (): number {
    return this.#lastByteAt
  }

  async read (): Promise<Outcome<Buffer, Refusal>> {
    const request = this.#request
    if (Number(request.headers['content-length'] ?? 0) > this.#maxBytes) return this.#tooLarge()
    if (request.destroyed && !request.complete) return this.#cancelled()
    const { budget, deadline } = this.#admission
    const timer = deadline === Infinity
      ? undefined
      : setTimeout(() => this.#finish(failure(notRun(RefusalReason.DeadlineExceeded, 'the body was not whole in time'))), deadline - performance.now())
    budget.addReading(this)
    const body = await new Promise<Outcome<Buffer, Refusal>>((resolve) => {
      this.#finish = resolve
      request.on('data', this.#receive)
      request.once('end', this.#end)
      request.once('error', () => resolve(this.#cancelled()))
      request.once('close', () => resolve(this.#cancelled()))
    })
    clearTimeout(timer)
    budget.deleteReading(this)
    request.off('data', this.#receive)
    // A refused body that ends later isn't joined.
    request.off('end', this.#end)
    // The rest of a refused body is discarded, so that the response isn't lost to a reset.
    if (!body.ok) request.resume()
    return body
  }

  yieldMemory (): void {
    this.#admission.share.release()
    this.#finish(failure(notRun(RefusalReason.LimitReached, 'the body stalled while its memory was needed')))
  }

  readonly #end = (): void => this.#finish(success(this.#buffer.join()))

  readonly #receive = (chunk: Buffer): void => {
    this.#lastByteAt = performance.now()
    if (this.#buffer.size + chunk.length > this.#maxBytes) this.#finish(this.#tooLarge())
    else if (!this.#buffer.append(chunk)) this.#finish(failure(notRun(RefusalReason.Overloaded, 'the memory for requests is in use')))
  }

  #tooLarge (): Outcome<Buffer, Refusal> {
    return failure(notRun(RefusalReason.TooLarge, `the body exceeds ${this.#maxBytes} bytes`))
  }

  #cancelled (): Outcome<Buffer, Refusal> {
    return failure(notRun(RefusalReason.Cancelled, 'the connection closed before the request was complete'))
  }
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
