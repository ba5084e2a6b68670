import { createWriteStream } from 'node:fs'
import { hrTimeToMilliseconds, W3CTraceContextPropagator } from '@opentelemetry/core'
import { propagation } from '@opentelemetry/api'
import { BatchSpanProcessor, NodeTracerProvider, ParentBasedSampler, TraceIdRatioBasedSampler } from '@opentelemetry/sdk-trace-node'
import type { WriteStream } from 'node:fs'
import type { ExportResult } from '@opentelemetry/core'
import type { ReadableSpan, SpanExporter } from '@opentelemetry/sdk-trace-node'

/** OpenTelemetry's result code for a successful export. */
const EXPORT_SUCCEEDED = 0

/** Maximum size of the write buffer, in bytes. If the disk can't keep up, further spans are dropped. */
const MAX_BUFFERED_BYTES = 4 * 1024 * 1024

/** Settings of the span export. */
export interface SpanFileSettings {
  readonly path: string
  /** Sampling ratio of traces without a sampling decision from the caller, from 0 to 1. */
  readonly ratio: number
  readonly hostId: string
}

/** Appends finished spans to a file, one JSON document per line. Drops spans rather than delay requests. */
class SpanFileExporter implements SpanExporter {
  readonly #file: WriteStream
  readonly #hostId: string

  constructor (settings: SpanFileSettings) {
    this.#file = createWriteStream(settings.path, { flags: 'a' })
    // Tracing is optional: a full disk must not stop the service.
    this.#file.on('error', () => {})
    this.#hostId = settings.hostId
  }

  export (spans: ReadableSpan[], done: (result: ExportResult) => void): void {
    if (this.#file.writableLength < MAX_BUFFERED_BYTES) {
      for (const span of spans) this.#file.write(`${JSON.stringify(this.#toDocument(span))}\n`)
    }
    done({ code: EXPORT_SUCCEEDED })
  }

  async shutdown (): Promise<void> {
    await new Promise<void>((resolve) => this.#file.end(() => resolve()))
  }

  #toDocument (span: ReadableSpan): object {
    const { traceId, spanId } = span.spanContext()
    return {
      traceId,
      spanId,
      parentSpanId: span.parentSpanContext?.spanId ?? '',
      name: span.name,
      host: this.#hostId,
      startedAt: new Date(hrTimeToMilliseconds(span.startTime)).toISOString(),
      durationMs: hrTimeToMilliseconds(span.duration),
      attributes: span.attributes
    }
  }
}

/**
 * Exports the spans of this process to a file.
 *
 * @returns a function that writes the remaining spans and closes the file
 * @example
 * const close = exportSpansToFile({ path: 'spans.ndjson', ratio: 0.01, hostId: 'h1' })
 */
export function exportSpansToFile (settings: SpanFileSettings): () => Promise<void> {
  const provider = new NodeTracerProvider({
    sampler: new ParentBasedSampler({ root: new TraceIdRatioBasedSampler(settings.ratio) }),
    spanProcessors: [new BatchSpanProcessor(new SpanFileExporter(settings))]
  })
  provider.register()
  propagation.setGlobalPropagator(new W3CTraceContextPropagator())
  return async () => await provider.shutdown()
}
