import * as z from 'zod'
import { HostState, MembershipMessageKind } from '@cyclamenthread/state'
import { revisionsSchema } from './catalogue-message.js'
import { PeerMessageKind } from './message-kind.js'

/** Most records and buckets that are read of one message; well above what a host sends. */
const MAX_GOSSIP_ITEMS = 64

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

const memberRecordSchema = z.object({ host: hostSchema, incarnation: z.int().nonnegative(), state: z.enum(HostState) })

const gossipFields = {
  self: memberRecordSchema,
  records: z.array(memberRecordSchema).max(MAX_GOSSIP_ITEMS).readonly(),
  digest: z.array(z.int().nonnegative()).max(MAX_GOSSIP_ITEMS).readonly()
}

/** A message of the membership protocol itself. */
export const membershipMessageSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal(MembershipMessageKind.Ping), sequence: z.int(), ...gossipFields }),
  z.object({ kind: z.literal(MembershipMessageKind.PingRequest), sequence: z.int(), target: hostSchema, ...gossipFields }),
  z.object({ kind: z.literal(MembershipMessageKind.Ack), sequence: z.int(), ...gossipFields }),
  z.object({ kind: z.literal(MembershipMessageKind.Gossip), ...gossipFields })
])

/** A membership message with what rides along: newest revisions and withdrawn keys. */
export const membershipEnvelopeSchema = z.object({
  kind: z.literal(PeerMessageKind.MembershipGossip),
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
export const probeResponseSchema = z.object({
  hostId: z.string(),
  state: z.enum(HostState),
  catalogueRevision: z.int()
})

export type ProbeResponse = z.infer<typeof probeResponseSchema>
export type MembershipEnvelope = z.infer<typeof membershipEnvelopeSchema>
