import { monotonicNow } from '@cyclamenthread/transport'
import { StreamPartKind } from '@cyclamenthread/protocol'
import { unreachable } from '@cyclamenthread/state'
import type { EndpointPort, EndpointRequest, StreamPart } from '@cyclamenthread/protocol'

/** Silence after which a stream is given up, in milliseconds: many times the usual pause between two events. */
const EVENT_TIMEOUT_MS = 1_500

/** Silence before the first event after which a stream is given up, in milliseconds: it may wait for a slot. */
const FIRST_EVENT_TIMEOUT_MS = 4_000

/** Events over which the pace of a stream is averaged. */
const PACE_WINDOW_EVENTS = 4

/** How a stream of a sample came to its end. */
export enum StreamEnd {
  Complete = 'complete',
  /** The endpoint ran the sample and failed. */
  Failed = 'failed',
  /** The sample can never be done. */
  Impossible = 'impossible',
  /** The endpoint did not run it. */
  NotRun = 'not-run',
  /** The stream broke off, stalled, or held what does not belong to it. */
  Broken = 'broken',
  /** Its text comes from weights that are too old. */
  Stale = 'stale',
  Cancelled = 'cancelled'
}

/** Status by which an endpoint says that a request can never be done. */
const UNPROCESSABLE_STATUS = 422

/** The text of a sample as far as it has come. */
export class SampleText {
  readonly pieces: string[] = []
  /** Weight versions that wrote the text, in order, each once. */
  readonly versions: number[] = []
  /** Counts how often the sample started anew: parts of different starts never belong together. */
  generation = 0

  /** Forgets the text, so that the sample starts anew. */
  clear (): void {
    this.generation += 1
    this.pieces.length = 0
    this.versions.length = 0
  }

  /** Adds the text of one event. */
  append (data: string, version: number): void {
    this.pieces.push(data)
    if (!this.versions.includes(version)) this.versions.push(version)
  }
}

/** What a sample asks of its text. */
export interface VersionRule {
  readonly minVersion: number
  readonly singleVersion: boolean
}

/** What is told while a stream goes on. */
export interface StreamObserver {
  onStart (part: Extract<StreamPart, { kind: StreamPartKind.Start }>): void
  onVersion (version: number): void
  /** @param paceMs time between two events in milliseconds, averaged over some */
  onPace (paceMs: number): void
}

/**
 * Reads one stream into the text of a sample, from the event after those it
 * holds. Each event is taken only if it is the next one and its version is known
 * and new enough.
 *
 * @example
 * const { end } = await readStream(port, request, text, rule, observer, abort)
 */
export async function readSampleStream (
  port: EndpointPort, request: EndpointRequest, text: SampleText, rule: VersionRule, observer: StreamObserver, abort: AbortController
): Promise<{ readonly end: StreamEnd, readonly detail: string, readonly events: number, readonly tookMs: number }> {
  const startedAt = monotonicNow()
  let firstAt: number | undefined
  let version: number | undefined
  let events = 0
  let paceWindowStart = 0
  let stalled = false
  let timer: NodeJS.Timeout | undefined
  const restartTimer = (milliseconds: number): void => {
    clearTimeout(timer)
    timer = setTimeout(() => {
      stalled = true
      abort.abort()
    }, milliseconds)
  }
  const done = (end: StreamEnd, detail = ''): { readonly end: StreamEnd, readonly detail: string, readonly events: number, readonly tookMs: number } => {
    return { end, detail, events, tookMs: monotonicNow() - (firstAt ?? startedAt) }
  }
  restartTimer(FIRST_EVENT_TIMEOUT_MS)
  try {
    for await (const part of port.streamRequest(request, text.pieces.length)) {
      switch (part.kind) {
        case StreamPartKind.Start:
          version = part.version
          observer.onStart(part)
          if (version !== undefined && version < rule.minVersion) return done(StreamEnd.Stale, `weights ${version}`)
          break
        case StreamPartKind.Event:
          restartTimer(EVENT_TIMEOUT_MS)
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
          if (part.id !== text.pieces.length + 1) return done(StreamEnd.Broken, `event ${part.id} after ${text.pieces.length}`)
          if (version === undefined || version < rule.minVersion) return done(StreamEnd.Stale, `weights ${version ?? 'unknown'}`)
          if (rule.singleVersion && text.versions.some((known) => known !== version)) return done(StreamEnd.Stale, 'weights changed')
          text.append(part.data, version)
          events += 1
          break
        case StreamPartKind.End: return done(StreamEnd.Complete)
        case StreamPartKind.Failure: return done(part.status === UNPROCESSABLE_STATUS ? StreamEnd.Impossible : StreamEnd.Failed, `status ${part.status}`)
        case StreamPartKind.NotRun: return done(StreamEnd.NotRun, `status ${part.status}`)
        case StreamPartKind.Broken:
          if (stalled) return done(StreamEnd.Broken, 'no event for too long')
          return done(abort.signal.aborted ? StreamEnd.Cancelled : StreamEnd.Broken, part.detail)
        default: unreachable(part)
      }
    }
    return done(StreamEnd.Broken, 'the stream ended without an end')
  } finally {
    clearTimeout(timer)
    abort.abort()
  }
}
