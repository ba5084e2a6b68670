import { createHmac, randomBytes, timingSafeEqual } from 'node:crypto'

/** Kinds of frames of the peer protocol. */
export enum FrameKind {
  Challenge = 'challenge',
  Proof = 'proof',
  Welcome = 'welcome',
  Call = 'call',
  Reply = 'reply',
  Abort = 'abort'
}

/** A call or one-way message; `left` is the sender's remaining time when it was sent, in milliseconds. */
export interface CallFrame {
  readonly kind: FrameKind.Call
  /** 0 for a one-way message, which gets no reply. */
  readonly id: number
  readonly left: number
  readonly traceparent: string
  readonly body: unknown
}

/** The reply to a call. */
export interface ReplyFrame {
  readonly kind: FrameKind.Reply
  readonly id: number
  readonly ok: boolean
  readonly body: unknown
}

/** The first frame of the server: a nonce that the client's proof has to cover. */
export interface ChallengeFrame {
  readonly kind: FrameKind.Challenge
  readonly nonce: string
}

/** The client's proof that it knows the cluster secret, with a nonce that the server's proof has to cover. */
export interface ProofFrame {
  readonly kind: FrameKind.Proof
  readonly host: string
  readonly nonce: string
  readonly proof: string
}

/** The server's proof that it knows the cluster secret. */
export interface WelcomeFrame {
  readonly kind: FrameKind.Welcome
  readonly host: string
  readonly proof: string
}

/** Cancels a call whose caller no longer waits for the reply. */
export interface AbortFrame {
  readonly kind: FrameKind.Abort
  readonly id: number
}

/** A frame of the peer protocol. */
export type PeerFrame = ChallengeFrame | ProofFrame | WelcomeFrame | CallFrame | ReplyFrame | AbortFrame

/** Size of a nonce, in bytes. */
const NONCE_BYTES = 24

/** Generates a random nonce. */
export function createNonce (): string {
  return randomBytes(NONCE_BYTES).toString('hex')
}

/** The two sides of a connection. Each proof covers its side, so that it can't be reflected to its sender. */
export enum PeerSide {
  Client = 'client',
  Server = 'server'
}

/** The values that a proof covers. */
export interface ProofInput {
  readonly side: PeerSide
  /** Id of the host that creates the proof. */
  readonly host: string
  readonly clientNonce: string
  readonly serverNonce: string
}

/**
 * Computes a proof: an HMAC of the input under the cluster secret.
 *
 * @example
 * computeProof(secret, { side: PeerSide.Client, host: 'h1', clientNonce, serverNonce })
 */
export function computeProof (secret: string, input: ProofInput): string {
  const { side, host, clientNonce, serverNonce } = input
  return createHmac('sha256', secret).update(JSON.stringify([side, host, clientNonce, serverNonce])).digest('hex')
}

/** Verifies a proof in constant time. */
export function isValidProof (secret: string, input: ProofInput, proof: string): boolean {
  const expected = Buffer.from(computeProof(secret, input))
  const actual = Buffer.from(proof)
  return expected.length === actual.length && timingSafeEqual(expected, actual)
}

/** Whether a frame is a well-formed call. */
export function isCallFrame (frame: PeerFrame): frame is CallFrame {
  return frame.kind === FrameKind.Call && Number.isSafeInteger(frame.id) && frame.id >= 0 && Number.isFinite(frame.left) && typeof frame.traceparent === 'string'
}
