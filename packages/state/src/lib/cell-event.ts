import type { Endpoint, WorkClass } from './catalogue.js'
import type { Refusal } from './refusal.js'

/** What a cell needs to know of a request to order and place it. */
export interface SlotRequest {
  readonly requestId: string
  readonly workspace: string
  readonly weight: number
  readonly class: WorkClass
  readonly entry: string
  /** Host that asked and answers for the slot. */
  readonly gateway: string
  /** Tokens the request is expected to cost, prompt and answer. */
  readonly expectedTokens: number
  /** Digest of the prompt's prefix, for cache affinity; empty where there is none. */
  readonly prefix: string
  /** Digest of the whole request, to recognise one that takes endpoints down. */
  readonly digest: string
  /** Tokens of the prompt, of which a remembered prefix saves a part. */
  readonly promptTokens: number
  /** Whether an endpoint was lost while it ran a request of this digest: it then runs alone on its endpoint. */
  readonly suspect: boolean
  /** Endpoints that already failed this request. */
  readonly excluded: readonly string[]
  /** Receiver's monotonic time in milliseconds after which the grant is of no use. */
  readonly deadline: number
}

/** Kinds of events that drive a cell. */
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

/** A slot as the gateway that holds it tells a new owner of the cell. */
export interface SlotClaim {
  readonly slotId: string
  readonly endpointId: string
  readonly request: SlotRequest
}

/** How the use of a slot ended. */
export enum SlotEnd {
  Finished = 'finished',
  Cancelled = 'cancelled',
  Failed = 'failed',
  EndpointLost = 'endpoint-lost'
}

/** Everything that can happen to a cell. */
export type CellEvent =
  | { readonly kind: CellEventKind.Request, readonly request: SlotRequest }
  | { readonly kind: CellEventKind.Cancel, readonly requestId: string }
  | { readonly kind: CellEventKind.Release, readonly slotId: string, readonly end: SlotEnd, readonly actualTokens: number }
  | { readonly kind: CellEventKind.EndpointUp, readonly endpoint: Endpoint }
  | { readonly kind: CellEventKind.EndpointLeaving, readonly endpointId: string }
  | { readonly kind: CellEventKind.EndpointDown, readonly endpointId: string }
  /** `observedAt` is the earliest monotonic time at which the endpoint may have taken the figure. */
  | { readonly kind: CellEventKind.LoadReport, readonly endpointId: string, readonly running: number, readonly observedAt: number }
  /** All slots of this cell that a gateway holds, those of earlier owners among them. */
  | { readonly kind: CellEventKind.Held, readonly gateway: string, readonly slots: readonly SlotClaim[] }
  /** Every gateway has said what it holds, or had the time to. */
  | { readonly kind: CellEventKind.Open }
  | { readonly kind: CellEventKind.GatewayDown, readonly gateway: string }
  | { readonly kind: CellEventKind.Tick }

/** Kinds of effects a cell asks its task to carry out. */
export enum CellEffectKind {
  Grant = 'grant',
  Refuse = 'refuse',
  Record = 'record'
}

/** The right to run one request on one endpoint until the lease deadline. */
export interface SlotGrant {
  readonly slotId: string
  readonly requestId: string
  readonly endpoint: Endpoint
  /** Cell's monotonic time in milliseconds at which an unreleased slot is taken back. */
  readonly leaseDeadline: number
}

/** What a decision record tells of one step of a request. */
export enum DecisionKind {
  Queued = 'queued',
  Granted = 'granted',
  Refused = 'refused',
  Cancelled = 'cancelled',
  Released = 'released'
}

/** One decision, as it goes into the hash chain of its dispatcher. */
export interface Decision {
  readonly kind: DecisionKind
  readonly requestId: string
  readonly workspace: string
  readonly entry: string
  readonly class: WorkClass
  /** Endpoint concerned, or empty. */
  readonly endpoint: string
  /** Requests of the cell that were waiting when the decision was taken. */
  readonly waiting: number
  /** Reason in the terms of the policy that decided. */
  readonly reason: string
}

/** Everything a cell can ask for. */
export type CellEffect =
  | { readonly kind: CellEffectKind.Grant, readonly grant: SlotGrant }
  | { readonly kind: CellEffectKind.Refuse, readonly requestId: string, readonly refusal: Refusal }
  | { readonly kind: CellEffectKind.Record, readonly decision: Decision }
