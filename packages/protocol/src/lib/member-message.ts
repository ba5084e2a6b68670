import * as z from 'zod'
import { HostState, MembershipMessageKind } from '@cyclamenthread/state'
import { revisionsSchema } from './catalogue-message.js'
import { PeerMessageKind } from './message-kind.js'

/** Maximum number of member records, and of digest buckets, accepted in one message; well above what a host sends. */
const MAX_GOSSIP_ITEMS = 64

/** Maximum number of withdrawn key ids in one message. */
export const MAX_WITHDRAWN_KEYS = 32

/** A host, as exchanged between members and as registered in the store. */
export const hostSchema = z.object({
  id: z.string(),
  region: z.string(),
  failureDomain: z.string(),
  peerAddress: z.string(),
  callerUrl: z.string(),
  hasDataFolder: z.boolean(),
  processorCores: z.number().positive().optional()
})

const memberRecordSchema = z.object({ host: hostSchema, incarnation: z.int().nonnegative(), state: z.enum(HostState) })

const gossipFields = {
  self: memberRecordSchema,
  records: z.array(memberRecordSchema).max(MAX_GOSSIP_ITEMS).readonly(),
  digest: z.array(z.int().nonnegative()).max(MAX_GOSSIP_ITEMS).readonly()
}

/** A message of the membership protocol. */
export const membershipMessageSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal(MembershipMessageKind.Ping), sequence: z.int(), ...gossipFields }),
  z.object({ kind: z.literal(MembershipMessageKind.PingRequest), sequence: z.int(), target: hostSchema, ...gossipFields }),
  z.object({ kind: z.literal(MembershipMessageKind.Ack), sequence: z.int(), ...gossipFields }),
  z.object({ kind: z.literal(MembershipMessageKind.Gossip), ...gossipFields })
])

/** A membership message with piggybacked catalogue revisions and withdrawn keys. */
export const membershipEnvelopeSchema = z.object({
  kind: z.literal(PeerMessageKind.MembershipGossip),
  message: membershipMessageSchema,
  /** Newest catalogue, roster and release revisions known to the sender. */
  revisions: revisionsSchema.optional(),
  /** Ids of withdrawn keys known to the sender. */
  withdrawnKeys: z.array(z.string()).max(MAX_WITHDRAWN_KEYS).optional()
})

/** Checks whether a host is alive, and reads its state. */
export const probeSchema = z.object({
  kind: z.literal(PeerMessageKind.Probe)
})

/** The response to {@link probeSchema}. */
export const probeResponseSchema = z.object({
  hostId: z.string(),
  state: z.enum(HostState),
  catalogueRevision: z.int()
})

export type ProbeResponse = z.infer<typeof probeResponseSchema>
export type MembershipEnvelope = z.infer<typeof membershipEnvelopeSchema>
