import * as z from 'zod'
import { PeerMessageKind } from './message-kind.js'

/** Asks a host to contend for the lease of the duties, sent by a leader that reaches no endpoint. */
export const offerDutiesSchema = z.object({ kind: z.literal(PeerMessageKind.OfferDuties) })
