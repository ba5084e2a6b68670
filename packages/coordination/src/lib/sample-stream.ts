import { monotonicNow } from '@cyclamenthread/transport'
import { BreakCause, StreamPartKind } from '@cyclamenthread/protocol'
import { unreachable } from '@cyclamenthread/state'
import type { EndpointPort, EndpointRequest, StreamPart } from '@cyclamenthread/protocol'
import type { EndpointNotice, SampleText, TextLimit } from '@cyclamenthread/state'

/** Time without an event after which a stream is aborted, in milliseconds: many times the usual interval between events. */
const EVENT_TIMEOUT_MS = 1_500

/** Time without a first event after which a stream is aborted, in milliseconds: longer, because the request may wait for a slot. */
const FIRST_EVENT_TIMEOUT_MS = 4_000

/** Number of events over which the pace of a stream is averaged. */
const PACE_WINDOW_EVENTS = 4

/** Abort reason of a stream that has ended by itself; one for all, because creating one for each stream takes time. */
const STREAM_ENDED = new Error('the stream has ended')

/** How the stream of a sample ended. */
export enum StreamEnd {
  Complete = 'complete',
  /** The endpoint ran the sample and failed. */
  Failed = 'failed',
  /** The endpoint reported that the sample can never be completed. */
  Impossible = 'impossible',
  /** The endpoint did not run it. */
  NotRun = 'not-run',
  /** The permission to start ended before the request was written. */
  NotSent = 'not-sent',
  /** The connection broke, the stream stalled, or it contained an unexpected event. */
  Broken = 'broken',
  /** The text comes from weights that are too old or changed within a sample that requires a single version. */
  Stale = 'stale',
  /** The endpoint sent more than the text may hold, so none of it counts as the text. */
  Overrun = 'overrun',
  Cancelled = 'cancelled'
}

/** Status with which an endpoint reports that it ran a request and failed. */
const FAILURE_STATUS = 500

/** Status with which an endpoint reports that a request can never be completed. */
const UNPROCESSABLE_STATUS = 422

/** Requirements on the text of a sample: its weight versions and its length. */
export interface TextRule {
  readonly minVersion: number
  readonly singleVersion: boolean
  readonly limit: TextLimit
}

/** Receives notifications while a stream is read. */
export interface StreamObserver {
  onStart (part: Extract<StreamPart, { kind: StreamPartKind.Start }>): void
  onNotice (notice: EndpointNotice): void
  onVersion (version: number): void
  /** @param isFirst whether it is the first event of this stream */
  onEvent (isFirst: boolean): void
  /** @param paceMs time between two events in milliseconds, averaged over several events */
  onPace (paceMs: number): void
}

/**
 * Reads a stream into the text of a sample, starting after the events that the
 * text already contains. An event is appended only if it is the next one and its
 * weight version is known and new enough.
 *
 * @example
 * const { end } = await readSampleStream(port, request, text, rule, observer, abort)
 */
export async function readSampleStream (
  port: EndpointPort, request: EndpointRequest, text: SampleText, rule: TextRule, observer: StreamObserver, abort: AbortController
): Promise<{ readonly end: StreamEnd, readonly detail: string, readonly events: number, readonly tookMs: number }> {
  const startedAt = monotonicNow()
  let firstAt: number | undefined
  let version: number | undefined
  let events = 0
  let characters = text.pieces.reduce((sum, { length }) => sum + length, 0)
  let paceWindowStart = 0
  let isStalled = false
  let timer: NodeJS.Timeout | undefined
  const restartTimer = (milliseconds: number): void => {
    clearTimeout(timer)
    timer = setTimeout(() => {
      isStalled = true
      abort.abort()
    }, milliseconds)
  }
  const finish = (end: StreamEnd, detail = ''): { readonly end: StreamEnd, readonly detail: string, readonly events: number, readonly tookMs: number } => {
    return { end, detail, events, tookMs: monotonicNow() - (firstAt ?? startedAt) }
  }
  // The text may have been shortened or replaced with the abort, so it neither grows nor counts as whole afterwards.
  const finishAborted = (detail = ''): ReturnType<typeof finish> =>
    isStalled ? finish(StreamEnd.Broken, 'timed out waiting for the next event') : finish(StreamEnd.Cancelled, detail)
  restartTimer(FIRST_EVENT_TIMEOUT_MS)
  try {
    for await (const part of port.streamRequest(request, text.pieces.length)) {
      if ('notice' in part && part.notice !== undefined) observer.onNotice(part.notice)
      switch (part.kind) {
        case StreamPartKind.Start:
          version = part.version
          observer.onStart(part)
          if (version !== undefined && version < rule.minVersion) return finish(StreamEnd.Stale, `weight version ${version}`)
          break
        case StreamPartKind.Event:
          if (abort.signal.aborted) return finishAborted()
          restartTimer(EVENT_TIMEOUT_MS)
          observer.onEvent(firstAt === undefined)
          firstAt ??= monotonicNow()
          if (events % PACE_WINDOW_EVENTS === 0) {
            const now = monotonicNow()
            if (events > 0) observer.onPace((now - paceWindowStart) / PACE_WINDOW_EVENTS)
            paceWindowStart = now
          }
          if (part.version !== undefined) {
            version = part.version
            observer.onVersion(version)
          }
          if (part.id !== text.pieces.length + 1) return finish(StreamEnd.Broken, `received event ${part.id} after event ${text.pieces.length}`)
          if (version === undefined || version < rule.minVersion) return finish(StreamEnd.Stale, `weight version ${version ?? 'unknown'}`)
          if (rule.singleVersion && text.versions.some((known) => known !== version)) return finish(StreamEnd.Stale, 'weight version changed')
          characters += part.data.length
          if (part.id > rule.limit.maxEvents || characters > rule.limit.maxCharacters) return finish(StreamEnd.Overrun, `${part.id} events with ${characters} characters`)
          text.append(part.data, version)
          events += 1
          break
        case StreamPartKind.End:
          if (abort.signal.aborted) return finishAborted()
          return text.pieces.length === 0 ? finish(StreamEnd.Broken, 'the stream ended without an event') : finish(StreamEnd.Complete)
        case StreamPartKind.Failure: return finish(endOfFailure(part.status), `status ${part.status}`)
        case StreamPartKind.NotRun: return finish(StreamEnd.NotRun, `status ${part.status}`)
        case StreamPartKind.NotSent: return finish(StreamEnd.NotSent)
        case StreamPartKind.Broken:
          if (abort.signal.aborted) return finishAborted(part.detail)
          return finish(part.cause === BreakCause.Overrun ? StreamEnd.Overrun : StreamEnd.Broken, part.detail)
        default: unreachable(part)
      }
    }
    return finish(StreamEnd.Broken, 'the stream closed without an end event')
  } finally {
    clearTimeout(timer)
    abort.abort(STREAM_ENDED)
  }
}

/** Returns what a failure answer states; server errors other than 500 come from a server in front of an endpoint and don't state that the sample ran. */
function endOfFailure (status: number): StreamEnd {
  if (status === UNPROCESSABLE_STATUS) return StreamEnd.Impossible
  return status > FAILURE_STATUS ? StreamEnd.Broken : StreamEnd.Failed
}
