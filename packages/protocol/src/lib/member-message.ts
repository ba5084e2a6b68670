import * as z from 'zod'
import { HostState, MembershipMessageKind } from '@cyclamenthread/state'
import { revisionsSchema } from './catalogue-message.js'
import { PeerMessageKind } from './message-kind.js'

/** Most records and buckets that are read of one message; well above what a host sends. */
const MAX_ITEMS = 64

/** Most ids of withdrawn keys in one message. */
export const MAX_WITHDRAWN_KEYS = 32

/** A host, as members tell of it and as it is listed in the store. */
export const hostSchema = z.object({
  id: z.string(),
  region: z.string(),
  failureDomain: z.string(),
  peerAddress: z.string(),
  callerUrl: z.string(),
  hasDataFolder: z.boolean()
})

const recordSchema = z.object({ host: hostSchema, incarnation: z.int().nonnegative(), state: z.enum(HostState) })

const gossip = {
  self: recordSchema,
  records: z.array(recordSchema).max(MAX_ITEMS).readonly(),
  digest: z.array(z.int().nonnegative()).max(MAX_ITEMS).readonly()
}

/** A message of the membership protocol itself. */
export const membershipMessageSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal(MembershipMessageKind.Ping), sequence: z.int(), ...gossip }),
  z.object({ kind: z.literal(MembershipMessageKind.PingRequest), sequence: z.int(), target: hostSchema, ...gossip }),
  z.object({ kind: z.literal(MembershipMessageKind.Ack), sequence: z.int(), ...gossip }),
  z.object({ kind: z.literal(MembershipMessageKind.Gossip), ...gossip })
])

/** A membership message with what rides along: newest revisions and withdrawn keys. */
export const membershipSchema = z.object({
  kind: z.literal(PeerMessageKind.Membership),
  message: membershipMessageSchema,
  /** Revisions of catalogue, roster and releases that the sender knows. */
  revisions: revisionsSchema.optional(),
  /** Ids of keys that the sender knows to be withdrawn. */
  withdrawnKeys: z.array(z.string()).max(MAX_WITHDRAWN_KEYS).optional()
})

/** Asks a host whether it lives and what it knows. */
export const probeSchema = z.object({
  kind: z.literal(PeerMessageKind.Probe)
})

/** The answer to {@link probeSchema}. */
export const probeAnswerSchema = z.object({
  hostId: z.string(),
  state: z.enum(HostState),
  catalogueRevision: z.int()
})

export type ProbeAnswer = z.infer<typeof probeAnswerSchema>
export type MembershipCarrier = z.infer<typeof membershipSchema>
