import { createHmac, randomBytes, timingSafeEqual } from 'node:crypto'

/** Kinds of frames between two processes of the service. */
export enum WireKind {
  Challenge = 'challenge',
  Proof = 'proof',
  Call = 'call',
  Reply = 'reply',
  Abort = 'abort'
}

/** A call or notice on its way; `left` is the time its sender still had, in milliseconds. */
export interface WireCall {
  readonly kind: WireKind.Call
  /** 0 for a notice, which gets no reply. */
  readonly id: number
  readonly left: number
  readonly traceparent: string
  readonly body: unknown
}

/** The answer of a call. */
export interface WireReply {
  readonly kind: WireKind.Reply
  readonly id: number
  readonly ok: boolean
  readonly body: unknown
}

/** The server's opening frame: a nonce that the client has to answer. */
export interface WireChallenge {
  readonly kind: WireKind.Challenge
  readonly nonce: string
}

/** The client's proof that it holds the cluster secret, with a nonce of its own. */
export interface WireProof {
  readonly kind: WireKind.Proof
  readonly host: string
  readonly proof: string
}

/** The caller no longer waits for the call. */
export interface WireAbort {
  readonly kind: WireKind.Abort
  readonly id: number
}

/** Every frame between two processes of the service. */
export type WireFrame = WireChallenge | WireProof | WireCall | WireReply | WireAbort

/** Bytes of a nonce. */
const NONCE_BYTES = 24

/** A fresh nonce for a challenge. */
export function createNonce (): string {
  return randomBytes(NONCE_BYTES).toString('hex')
}

/** The proof that belongs to a nonce and a host id under the cluster secret. */
export function proofOf (secret: string, nonce: string, host: string): string {
  return createHmac('sha256', secret).update(`${nonce}\u0000${host}`).digest('hex')
}

/** Whether a proof fits, in constant time. */
export function isProof (secret: string, nonce: string, host: string, proof: string): boolean {
  const expected = Buffer.from(proofOf(secret, nonce, host))
  const actual = Buffer.from(proof)
  return expected.length === actual.length && timingSafeEqual(expected, actual)
}
