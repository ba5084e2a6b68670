import { createHmac, randomBytes, timingSafeEqual } from 'node:crypto'

/** Kinds of frames between two processes of the service. */
export enum FrameKind {
  Challenge = 'challenge',
  Proof = 'proof',
  Welcome = 'welcome',
  Call = 'call',
  Reply = 'reply',
  Abort = 'abort'
}

/** A call or notice on its way; `left` is the time its sender still had, in milliseconds. */
export interface CallFrame {
  readonly kind: FrameKind.Call
  /** 0 for a notice, which gets no reply. */
  readonly id: number
  readonly left: number
  readonly traceparent: string
  readonly body: unknown
}

/** The answer of a call. */
export interface ReplyFrame {
  readonly kind: FrameKind.Reply
  readonly id: number
  readonly ok: boolean
  readonly body: unknown
}

/** The server's opening frame: a nonce that the client has to answer. */
export interface ChallengeFrame {
  readonly kind: FrameKind.Challenge
  readonly nonce: string
}

/** The client's proof that it holds the cluster secret, with a nonce that the server has to answer. */
export interface ProofFrame {
  readonly kind: FrameKind.Proof
  readonly host: string
  readonly nonce: string
  readonly proof: string
}

/** The server's proof that it holds the cluster secret too. */
export interface WelcomeFrame {
  readonly kind: FrameKind.Welcome
  readonly host: string
  readonly proof: string
}

/** The caller no longer waits for the call. */
export interface AbortFrame {
  readonly kind: FrameKind.Abort
  readonly id: number
}

/** Every frame between two processes of the service. */
export type PeerFrame = ChallengeFrame | ProofFrame | WelcomeFrame | CallFrame | ReplyFrame | AbortFrame

/** Bytes of a nonce. */
const NONCE_BYTES = 24

/** A fresh nonce for a challenge. */
export function createNonce (): string {
  return randomBytes(NONCE_BYTES).toString('hex')
}

/** The two sides of a connection. Each is part of its proof, so that a proof can't be sent back to its maker. */
export enum PeerSide {
  Client = 'client',
  Server = 'server'
}

/** What a proof is made over. */
export interface ProofInput {
  readonly side: PeerSide
  /** Host that makes the proof. */
  readonly host: string
  readonly clientNonce: string
  readonly serverNonce: string
}

/**
 * The proof of a claim under the cluster secret.
 *
 * @example
 * proofOf(secret, { side: PeerSide.Client, host: 'h1', clientNonce, serverNonce })
 */
export function computeProof (secret: string, claim: ProofInput): string {
  const { side, host, clientNonce, serverNonce } = claim
  return createHmac('sha256', secret).update(JSON.stringify([side, host, clientNonce, serverNonce])).digest('hex')
}

/** Whether a proof fits its claim, in constant time. */
export function isValidProof (secret: string, claim: ProofInput, proof: string): boolean {
  const expected = Buffer.from(computeProof(secret, claim))
  const actual = Buffer.from(proof)
  return expected.length === actual.length && timingSafeEqual(expected, actual)
}

/** Whether a frame is a call of the right shape. */
export function isCallFrame (frame: PeerFrame): frame is CallFrame {
  return frame.kind === FrameKind.Call && Number.isSafeInteger(frame.id) && frame.id >= 0 && Number.isFinite(frame.left) && typeof frame.traceparent === 'string'
}
