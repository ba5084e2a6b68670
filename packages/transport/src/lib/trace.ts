import { context, SpanStatusCode, trace } from '@opentelemetry/api'
import { W3CTraceContextPropagator } from '@opentelemetry/core'
import type { Attributes, Context, Span, SpanKind } from '@opentelemetry/api'

const TRACER_NAME = 'cyclamenthread'
const propagator = new W3CTraceContextPropagator()

/** Describes the span of one hop of a request. */
export interface TracedHop {
  readonly name: string
  readonly kind: SpanKind
  /** The `traceparent` of the incoming request, or empty. */
  readonly traceparent: string
  readonly attributes?: Attributes
}

function extractContext (traceparent: string): Context {
  if (traceparent === '') return context.active()
  return propagator.extract(context.active(), { traceparent }, {
    get: (carrier: Record<string, string>, key) => carrier[key],
    keys: (carrier) => Object.keys(carrier)
  })
}

/**
 * The `traceparent` of a span, to be sent with the next hop.
 *
 * @example
 * headers.traceparent = getTraceparent(span)
 */
export function getTraceparent (span: Span): string {
  const carrier: Record<string, string> = {}
  propagator.inject(trace.setSpan(context.active(), span), carrier, {
    set: (target, key, value) => {
      target[key] = value
    }
  })
  return carrier['traceparent'] ?? ''
}

/**
 * Runs a function inside a span. The span ends when the function settles.
 *
 * @example
 * await withSpan({ name: 'dispatch', kind: SpanKind.CLIENT, traceparent }, (span) => call(getTraceparent(span)))
 */
export async function withSpan<Value> (hop: TracedHop, work: (span: Span) => Promise<Value>): Promise<Value> {
  const tracer = trace.getTracer(TRACER_NAME)
  const span = tracer.startSpan(hop.name, { kind: hop.kind, attributes: hop.attributes ?? {} }, extractContext(hop.traceparent))
  try {
    return await work(span)
  } catch (error) {
    span.setStatus({ code: SpanStatusCode.ERROR })
    throw error
  } finally {
    span.end()
  }
}
