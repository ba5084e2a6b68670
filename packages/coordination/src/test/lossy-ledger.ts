import { failure, success } from '@cyclamenthread/state'
import { CommitStatus, PeerMessageKind } from '@cyclamenthread/protocol'
import { PeerFailure } from '@cyclamenthread/transport'
import { LedgerClient } from '../lib/ledger-client.js'
import { answerClaimRead } from '../lib/ledger-task.js'
import type { Host } from '@cyclamenthread/state'
import type { PeerMessage } from '@cyclamenthread/protocol'
import type { MessageBus, SendOptions } from '../lib/message-bus.js'
import type { CandidateProcess } from './owner-simulation.js'
import type { ProcessClock } from './process-clock.js'

/** Time after which a sender gives a message up, in milliseconds. */
const MESSAGE_TIMEOUT_MS = 1_000

/** Most that a late message is late, in milliseconds. */
const LATENESS_MS = 6_000

/**
 * A ledger client whose messages are lost on the way there, lost on the way
 * back, or arrive long after their sender gave up.
 *
 * @param owners for each partition, the processes that may own it
 * @param lost whether chance strikes a message now
 */
export function createLossyLedger (sender: ProcessClock, owners: ReadonlyArray<readonly CandidateProcess[]>, random: () => number, lost: () => boolean): LedgerClient {
  const deliver = async (candidate: CandidateProcess | undefined, message: PeerMessage, options: SendOptions): Promise<unknown> => {
    const lostThere = lost()
    const lostBack = lost()
    const late = lost()
    const timeout = sender.sleep(MESSAGE_TIMEOUT_MS).then(() => undefined)
    if (lostThere) return await timeout.then(() => failure(PeerFailure.NoReply))
    const answer = (async () => {
      await candidate?.sleep(late ? random() * LATENESS_MS : random() * 10)
      return await answerMessage(candidate, message, options)
    })()
    const first = await Promise.race([answer, timeout])
    await sender.sleep(random() * 10)
    return lostBack || first === undefined ? failure(PeerFailure.NoReply) : success(first)
  }
  const bus = {
    send: async (host: Host, message: PeerMessage, options: SendOptions) => {
      const partition = 'partition' in message ? message.partition : 0
      return await deliver(owners[partition]?.[Number(host.id)], message, options)
    }
  } as unknown as Pick<MessageBus, 'send'>
  // The view changes with each look: hosts are far from agreeing on who owns what.
  const hosts = owners[0]?.map((_, index) => ({ id: String(index), region: 'r' }) as Host) ?? []
  const members = {
    workers: () => {
      const from = Math.floor(random() * hosts.length)
      return hosts.slice(from, from + 1)
    }
  }
  return new LedgerClient({ ledgerPartitions: owners.length, storeRegion: 'r' }, members, bus, sender, random)
}

async function answerMessage (candidate: CandidateProcess | undefined, message: PeerMessage, options: SendOptions): Promise<unknown> {
  const owner = candidate?.owner?.deposed === false ? candidate.owner : undefined
  if (message.kind === PeerMessageKind.ReadClaim) return answerClaimRead(owner, message.claimId)
  if (message.kind !== PeerMessageKind.CommitRecord || owner === undefined) return { status: CommitStatus.NotOwner, results: [] }
  return await owner.commit(message.records, options.deadline)
}
