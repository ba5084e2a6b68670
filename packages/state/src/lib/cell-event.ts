import type { Endpoint, WorkClass } from './catalogue.js'
import type { Refusal } from './refusal.js'
import type { RequestOrigin } from './request-origin.js'

/** A request for a slot, with the data a cell needs to queue and place it. */
export interface SlotRequest {
  readonly requestId: string
  readonly workspace: string
  readonly weight: number
  readonly class: WorkClass
  readonly entry: string
  /** Host that sent the request and is responsible for the slot. */
  readonly gateway: string
  /** Expected cost of the request in tokens, prompt and answer. */
  readonly expectedTokens: number
  /** Digest of the prompt's prefix, for cache affinity; empty if there is none. */
  readonly prefix: string
  /** Digest of the whole request, to recognise requests that crash endpoints. */
  readonly digest: string
  readonly origin: RequestOrigin
  /** Tokens of the prompt, some of which a cached prefix saves. */
  readonly promptTokens: number
  /** Whether an endpoint was lost while it ran a request of this digest; such a request runs alone on its endpoint. */
  readonly suspect: boolean
  /** Endpoints on which this request has already failed. */
  readonly excluded: readonly string[]
  /** Receiver's monotonic time in milliseconds after which a grant is useless. */
  readonly deadline: number
}

/** Kinds of events that a cell processes. */
export enum CellEventKind {
  Request = 'request',
  Cancel = 'cancel',
  Release = 'release',
  EndpointUp = 'endpoint-up',
  EndpointLeaving = 'endpoint-leaving',
  EndpointDown = 'endpoint-down',
  LoadReport = 'load-report',
  GatewayDown = 'gateway-down',
  Held = 'held',
  Open = 'open',
  Tick = 'tick'
}

/** A held slot as its gateway reports it to a new owner of the cell. */
export interface SlotClaim {
  readonly slotId: string
  readonly endpointId: string
  readonly request: SlotRequest
}

/** Reason for which a slot was released. */
export enum SlotEnd {
  Finished = 'finished',
  Cancelled = 'cancelled',
  Failed = 'failed',
  EndpointLost = 'endpoint-lost'
}

/** An event that a cell processes. */
export type CellEvent =
  | { readonly kind: CellEventKind.Request, readonly request: SlotRequest }
  | { readonly kind: CellEventKind.Cancel, readonly requestId: string }
  | { readonly kind: CellEventKind.Release, readonly slotId: string, readonly end: SlotEnd, readonly actualTokens: number }
  | { readonly kind: CellEventKind.EndpointUp, readonly endpoint: Endpoint }
  | { readonly kind: CellEventKind.EndpointLeaving, readonly endpointId: string }
  | { readonly kind: CellEventKind.EndpointDown, readonly endpointId: string }
  /** `observedAt` is the earliest monotonic time at which the endpoint may have measured its load. */
  | { readonly kind: CellEventKind.LoadReport, readonly endpointId: string, readonly running: number, readonly observedAt: number }
  /** All slots of this cell that a gateway holds, including those granted by previous owners. */
  | { readonly kind: CellEventKind.Held, readonly gateway: string, readonly slots: readonly SlotClaim[] }
  /** Every gateway has reported its held slots or has timed out; the cell may start to grant. */
  | { readonly kind: CellEventKind.Open }
  | { readonly kind: CellEventKind.GatewayDown, readonly gateway: string }
  | { readonly kind: CellEventKind.Tick }

/** Kinds of effects that a cell requests from its task. */
export enum CellEffectKind {
  Grant = 'grant',
  Refuse = 'refuse',
  Record = 'record'
}

/** Permission to run one request on one endpoint until the lease deadline. */
export interface SlotGrant {
  readonly slotId: string
  readonly requestId: string
  readonly endpoint: Endpoint
  /** Cell's monotonic time in milliseconds at which a slot that was not released expires. */
  readonly leaseDeadline: number
}

/** Kinds of decisions about a request. */
export enum DecisionKind {
  Queued = 'queued',
  Granted = 'granted',
  Refused = 'refused',
  Cancelled = 'cancelled',
  Released = 'released'
}

/** A decision as recorded in the hash chain of its dispatcher. */
export interface Decision {
  readonly kind: DecisionKind
  readonly requestId: string
  readonly workspace: string
  readonly entry: string
  readonly class: WorkClass
  /** Id of the endpoint, or empty if there is none. */
  readonly endpoint: string
  /** Number of requests waiting in the cell when the decision was taken. */
  readonly waiting: number
  /** Reason given by the policy that decided. */
  readonly reason: string
}

/** An effect that a cell requests from its task. */
export type CellEffect =
  | { readonly kind: CellEffectKind.Grant, readonly grant: SlotGrant }
  | { readonly kind: CellEffectKind.Refuse, readonly requestId: string, readonly refusal: Refusal }
  | { readonly kind: CellEffectKind.Record, readonly decision: Decision }
