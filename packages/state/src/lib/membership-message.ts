import type { Host, HostState } from './host.js'

/** State of a member, as stated by a host about itself or another. */
export interface MemberRecord {
  readonly host: Host
  /** Incremented only by the host itself: at a restart, and to refute a suspicion. */
  readonly incarnation: number
  readonly state: HostState
}

/** Kinds of messages between two members. */
export enum MembershipMessageKind {
  /** Requests an acknowledgement. */
  Ping = 'ping',
  /** Asks a third host to ping the target and to forward the acknowledgement. */
  PingRequest = 'ping-request',
  Ack = 'ack',
  /** Carries records only. */
  Gossip = 'gossip'
}

/** Gossip that is piggybacked on every message between members. */
export interface MembershipGossip {
  /** The sender's own record. */
  readonly self: MemberRecord
  /** A bounded number of the sender's records. */
  readonly records: readonly MemberRecord[]
  /** Digest of the sender's members, one number for each bucket. */
  readonly digest: readonly number[]
}

/** A message between two members. */
export type MembershipMessage = MembershipGossip & (
  | { readonly kind: MembershipMessageKind.Ping, readonly sequence: number }
  | { readonly kind: MembershipMessageKind.PingRequest, readonly sequence: number, readonly target: Host }
  | { readonly kind: MembershipMessageKind.Ack, readonly sequence: number }
  | { readonly kind: MembershipMessageKind.Gossip }
)
