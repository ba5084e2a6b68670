import type { EndpointEntry, ObservedLoad } from '@cyclamenthread/state'

/** A header as it travels; names keep their spelling. */
export type HeaderPair = readonly [name: string, value: string]

/** A request on its way to one endpoint. */
export interface EndpointRequest {
  readonly endpoint: EndpointEntry
  readonly requestId: string
  readonly method: string
  readonly path: string
  /** What the caller or the sample sent, without what concerns one connection only. */
  readonly headers: readonly HeaderPair[]
  readonly body: Uint8Array
  /** Workspace for which it runs; undefined on open routes. */
  readonly workspace: string | undefined
  /** Monotonic deadline in milliseconds; undefined when the endpoint is told of none. */
  readonly deadline: number | undefined
  readonly signal: AbortSignal
}

/** What came of a request to one endpoint. */
export enum EndpointReplyKind {
  /** A whole answer of the endpoint. */
  Answer = 'answer',
  /** The endpoint says that it has not run the request and never will. */
  NotRun = 'not-run',
  /** No whole answer; the request may have run if it was sent. */
  Broken = 'broken'
}

/** The result of a request to one endpoint. */
export type EndpointReply =
  | { readonly kind: EndpointReplyKind.Answer, readonly status: number, readonly headers: readonly HeaderPair[], readonly body: Uint8Array, readonly load: ObservedLoad | undefined }
  | { readonly kind: EndpointReplyKind.NotRun, readonly status: number, readonly load: ObservedLoad | undefined }
  | { readonly kind: EndpointReplyKind.Broken, readonly sent: boolean, readonly detail: string }

/** Parts of a stream of events. */
export enum StreamPartKind {
  /** The endpoint accepted the request and names its weight version. */
  Start = 'start',
  Event = 'event',
  /** The stream is whole. */
  End = 'end',
  /** The endpoint answered with a failure of its own. */
  Failure = 'failure',
  /** The endpoint did not run the request. */
  NotRun = 'not-run',
  /** The stream broke off or held what does not belong to it. */
  Broken = 'broken'
}

/** One part of a stream; a stream ends with any kind but `Start` and `Event`. */
export type StreamPart =
  | { readonly kind: StreamPartKind.Start, readonly version: number | undefined, readonly load: ObservedLoad | undefined }
  | { readonly kind: StreamPartKind.Event, readonly id: number, readonly data: string, readonly version: number | undefined }
  | { readonly kind: StreamPartKind.End }
  | { readonly kind: StreamPartKind.Failure, readonly status: number }
  | { readonly kind: StreamPartKind.NotRun, readonly status: number, readonly load: ObservedLoad | undefined }
  | { readonly kind: StreamPartKind.Broken, readonly sent: boolean, readonly detail: string }

/** An order to bring an endpoint to a weight version, given under a lease. */
export interface WeightOrder {
  readonly model: string
  readonly version: number
  readonly holder: string
  /** Fencing number of the lease. */
  readonly fence: number
  /** Orders the endpoint has taken so far; with another number it refuses, so that a late order can't undo a newer one. */
  readonly expectedOrders: number
  /** Monotonic milliseconds at which the lease ends; no byte leaves after it. */
  readonly leaseDeadline: number
}

/** What came of a weight order. */
export enum WeightOrderStatus {
  /** The endpoint carries it out. */
  Accepted = 'accepted',
  /** The endpoint has the version already. */
  Holds = 'holds',
  /** The endpoint is busy with another order, or has taken orders that this one does not know of. */
  Busy = 'busy',
  Refused = 'refused',
  /** No answer; it may be carried out, also later. */
  Unknown = 'unknown',
  NotSent = 'not-sent'
}

/** What an endpoint reports of itself; it lags by a few hundred milliseconds. */
export interface EndpointReport {
  readonly versions: Readonly<Record<string, number>>
  /** Whether an order is being carried out. */
  readonly busy: boolean
  /** Orders it has taken since it started. */
  readonly orders: number
  readonly load: ObservedLoad
}

/** Calls of endpoints. Nothing here throws; failures are values. */
export interface EndpointPort {
  /** Sends a request and reads the whole answer. */
  sendRequest (request: EndpointRequest): Promise<EndpointReply>
  /**
   * Sends a request for tokens and reads its events.
   *
   * @param resumeAfter number of the last event that is held already; 0 for none
   */
  streamRequest (request: EndpointRequest, resumeAfter: number): AsyncGenerator<StreamPart>
  /** Orders a weight version. */
  orderWeights (endpoint: EndpointEntry, order: WeightOrder): Promise<WeightOrderStatus>
  /** Asks for a report; undefined when none comes before the deadline. */
  readReport (endpoint: EndpointEntry, deadline: number): Promise<EndpointReport | undefined>
  close (): Promise<void>
}
