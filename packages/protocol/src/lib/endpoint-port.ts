import type { ConnectionUse } from '@cyclamenthread/transport'
import type { EndpointEntry, EndpointNotice, EndpointSign, ObservedLoad } from '@cyclamenthread/state'
import type { LeaderLease } from './leader-lease.js'

/** A header name and value; the name keeps its original case. */
export type HeaderPair = readonly [name: string, value: string]

/** A request to one endpoint. */
export interface EndpointRequest {
  readonly endpoint: EndpointEntry
  readonly requestId: string
  readonly method: string
  readonly path: string
  /** Headers from the caller or the sample, without hop-by-hop headers. */
  readonly headers: readonly HeaderPair[]
  readonly body: Uint8Array
  /** Workspace of the caller; undefined on open routes. */
  readonly workspace: string | undefined
  /** Monotonic deadline in milliseconds; undefined if no deadline is sent to the endpoint. */
  readonly deadline: number | undefined
  /** Time after which the request must not begin to be written, in milliseconds by the clock that counts suspends; undefined if it may be written at any time. */
  readonly startBefore: number | undefined
  /**
   * Called when the request is written.
   *
   * @param leftMs time that it states to be left, in milliseconds; undefined if it states none
   * @param use the connection that carries it; undefined if that isn't recorded
   */
  readonly onWrite?: (leftMs: number | undefined, use: ConnectionUse | undefined) => void
  readonly signal: AbortSignal
}

/** Why an answer broke, if its connection wasn't just lost. */
export enum BreakCause {
  /** The answer was given up, because it is longer than any proper one. */
  Overrun = 'overrun',
  /** What arrived is no answer, or that to another request. */
  NoAnswer = 'no-answer',
  /** The answer has a status that HTTP doesn't define, so it states nothing. */
  InvalidStatus = 'invalid-status'
}

/** Kinds of results of a request to one endpoint. */
export enum EndpointReplyKind {
  /** A complete response of the endpoint. */
  Answer = 'answer',
  /** The endpoint states that it hasn't run the request and won't. */
  NotRun = 'not-run',
  /** The time by which the request had to be written passed first; no byte of it was sent. */
  NotSent = 'not-sent',
  /** No complete response; if the request was sent, it may have run. */
  Broken = 'broken'
}

/**
 * The result of a request to one endpoint. A notice is what the endpoint itself states
 * with an answer to this very request; absent if it stated nothing that can be attributed to it.
 * If it doesn't say why an answer broke, the connection was lost.
 */
export type EndpointReply =
  | { readonly kind: EndpointReplyKind.Answer, readonly status: number, readonly headers: readonly HeaderPair[], readonly body: Uint8Array, readonly signature: string | undefined, readonly load: ObservedLoad | undefined, readonly notice?: EndpointNotice | undefined }
  | { readonly kind: EndpointReplyKind.NotRun, readonly status: number, readonly load: ObservedLoad | undefined, readonly notice?: EndpointNotice | undefined }
  | { readonly kind: EndpointReplyKind.NotSent }
  | { readonly kind: EndpointReplyKind.Broken, readonly sent: boolean, readonly detail: string, readonly cause?: BreakCause, readonly notice?: EndpointNotice | undefined }

/** Kinds of parts of an event stream. */
export enum StreamPartKind {
  /** The endpoint accepted the request; carries its weight version. */
  Start = 'start',
  Event = 'event',
  /** The stream is complete. */
  End = 'end',
  /** The endpoint responded with an error status. */
  Failure = 'failure',
  /** The endpoint did not run the request. */
  NotRun = 'not-run',
  /** The time by which the request had to be written passed first; no byte of it was sent. */
  NotSent = 'not-sent',
  /** The stream was cut off, or the response belongs to another request. */
  Broken = 'broken'
}

/** One part of an event stream. Every kind except `Start` and `Event` ends the stream. */
export type StreamPart =
  | { readonly kind: StreamPartKind.Start, readonly version: number | undefined, readonly load: ObservedLoad | undefined, readonly notice?: EndpointNotice | undefined }
  | { readonly kind: StreamPartKind.Event, readonly id: number, readonly data: string, readonly version: number | undefined }
  | { readonly kind: StreamPartKind.End }
  | { readonly kind: StreamPartKind.Failure, readonly status: number, readonly notice?: EndpointNotice | undefined }
  | { readonly kind: StreamPartKind.NotRun, readonly status: number, readonly load: ObservedLoad | undefined, readonly notice?: EndpointNotice | undefined }
  | { readonly kind: StreamPartKind.NotSent }
  | { readonly kind: StreamPartKind.Broken, readonly sent: boolean, readonly detail: string, readonly cause?: BreakCause }

/** An order to load a weight version on an endpoint, sent under a lease. */
export interface WeightOrder {
  readonly model: string
  readonly version: number
  readonly lease: LeaderLease
  /** Number of orders the endpoint has accepted so far. If it differs, the endpoint rejects the order, so that a delayed order can't undo a newer one. */
  readonly expectedOrders: number
}

/** Outcome of a weight order. */
export enum WeightOrderStatus {
  /** The endpoint is executing the order. */
  Accepted = 'accepted',
  /** The endpoint already has the version. */
  Holds = 'holds',
  /** The endpoint is executing another order, or has accepted orders that the sender of this one didn't know of. */
  Busy = 'busy',
  Refused = 'refused',
  /** No response; the order may be executed, now or later. */
  Unknown = 'unknown',
  NotSent = 'not-sent'
}

/** The state that an endpoint reports about itself; it lags by a few hundred milliseconds. */
export interface EndpointReport {
  readonly versions: Readonly<Record<string, number>>
  /** Whether an order is being executed. */
  readonly busy: boolean
  /** Number of orders accepted since the endpoint started. */
  readonly orders: number
  readonly load: ObservedLoad
  /** Whether the endpoint says that it is leaving; absent if it doesn't. */
  readonly leaving?: boolean
  /** Remaining time for which the endpoint is cold, in milliseconds, 0 if it isn't; absent if it doesn't say. */
  readonly coldMs?: number
}

/** Calls to endpoints. No method throws; failures are returned. */
export interface EndpointPort {
  /** Sends a request and reads the complete response. */
  sendRequest (request: EndpointRequest): Promise<EndpointReply>
  /**
   * Sends a request for tokens and yields the events of its response.
   *
   * @param resumeAfter number of the last event already received; 0 for none
   */
  streamRequest (request: EndpointRequest, resumeAfter: number): AsyncGenerator<StreamPart>
  /** Orders an endpoint to load a weight version. */
  orderWeights (endpoint: EndpointEntry, order: WeightOrder): Promise<WeightOrderStatus>
  /** Reads the endpoint's report; undefined if none arrives before the deadline. */
  readReport (endpoint: EndpointEntry, deadline: number): Promise<EndpointReport | undefined>
  /** Finds out whether an incarnation of an endpoint gives any sign before the deadline, on a connection of its own. */
  probe (endpoint: EndpointEntry, deadline: number): Promise<EndpointSign>
  close (): Promise<void>
}
