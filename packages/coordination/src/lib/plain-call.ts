import type { HomeRegions, Refusal, Route, StreamOrigin } from '@cyclamenthread/state'
import type { HeaderPair } from '@cyclamenthread/protocol'

/** Who waits for a call. */
export enum CallOrigin {
  /** A caller, who holds a connection open. */
  Caller = 'caller',
  /** A sample whose text is to be scored. */
  Reward = 'reward'
}

/** An admitted call to a plain service. */
export interface PlainCall {
  readonly requestId: string
  readonly route: Route
  readonly origin: CallOrigin
  readonly workspace: string | undefined
  readonly method: string
  readonly path: string
  readonly headers: readonly HeaderPair[]
  readonly body: Uint8Array
  /** What began the stream that the call takes up; absent if it starts anew. */
  readonly continues?: StreamOrigin
  /** Homes that the host which passed it on knows, beside those in the declaration of this host; absent if there are none. */
  readonly homes?: HomeRegions
  /** Whether another host has passed it on; it goes no further. */
  readonly isForwarded?: boolean
  /** Monotonic deadline in milliseconds. */
  readonly deadline: number
  /** Time after which no attempt may begin to be written, in milliseconds by the clock that counts suspends; undefined if attempts may start until the deadline. */
  readonly startBefore?: number
  /** Aborted when the caller disconnects. */
  readonly signal: AbortSignal
}

/** Outcome of a plain call. */
export type CallOutcome =
  | {
    readonly ok: true
    readonly status: number
    readonly headers: readonly HeaderPair[]
    readonly body: Uint8Array
    /** Proof of the endpoint that the answer is its own; undefined if it gave none. */
    readonly signature: string | undefined
    /** Service and software version of the endpoint that answered; undefined if it may have restarted with another one meanwhile. */
    readonly origin: StreamOrigin | undefined
    /** Answers of 500 that endpoints gave to the call. */
    readonly failures: number
  }
  | { readonly ok: false, readonly refusal: Refusal, readonly failures: number }
