import type { Host, HostState } from './host.js'

/** What one host claims of another, or of itself. */
export interface MemberRecord {
  readonly host: Host
  /** Raised only by the host itself: at a restart, and to refute a suspicion. */
  readonly incarnation: number
  readonly state: HostState
}

/** Kinds of messages between two members. */
export enum MembershipMessageKind {
  /** Asks for an acknowledgement. */
  Ping = 'ping',
  /** Asks a third host to ping the target and to pass the acknowledgement on. */
  PingRequest = 'ping-request',
  Ack = 'ack',
  /** Carries records only. */
  Gossip = 'gossip'
}

/** What every message between two members carries. */
export interface MembershipGossip {
  /** The sender's own record. */
  readonly self: MemberRecord
  /** A bounded number of records that the sender holds. */
  readonly records: readonly MemberRecord[]
  /** Digest of the sender's view, a number for each bucket of members. */
  readonly digest: readonly number[]
}

/** A message between two members. */
export type MembershipMessage = MembershipGossip & (
  | { readonly kind: MembershipMessageKind.Ping, readonly sequence: number }
  | { readonly kind: MembershipMessageKind.PingRequest, readonly sequence: number, readonly target: Host }
  | { readonly kind: MembershipMessageKind.Ack, readonly sequence: number }
  | { readonly kind: MembershipMessageKind.Gossip }
)
