import { z } from 'zod'
import { HostState } from '@cyclamenthread/state'
import { PeerMessageKind } from './message-kind.js'

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
