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

/** Timeout of a message, in milliseconds. */
const MESSAGE_TIMEOUT_MS = 1_000

/** Maximum delay of a late message, in milliseconds. */
const LATENESS_MS = 6_000

/**
 * Creates a ledger client whose requests or replies are lost, or whose requests
 * arrive long after their timeout.
 *
 * @param owners for each partition, the processes that may own it
 * @param isLost whether chance strikes a message now
 */
export function createLossyLedger (sender: ProcessClock, owners: ReadonlyArray<readonly CandidateProcess[]>, random: () => number, isLost: () => boolean): LedgerClient {
  const deliver = async (candidate: CandidateProcess | undefined, message: PeerMessage, options: SendOptions): Promise<unknown> => {
    const isRequestLost = isLost()
    const isReplyLost = isLost()
    const isLate = isLost()
    const timeout = sender.sleep(MESSAGE_TIMEOUT_MS).then(() => undefined)
    if (isRequestLost) return await timeout.then(() => failure(PeerFailure.NoReply))
    const answer = (async () => {
      await candidate?.sleep(isLate ? random() * LATENESS_MS : random() * 10)
      return await answerMessage(candidate, message, options)
    })()
    const reply = await Promise.race([answer, timeout])
    await sender.sleep(random() * 10)
    return isReplyLost || reply === undefined ? failure(PeerFailure.NoReply) : success(reply)
  }
  const bus = {
    send: async (host: Host, message: PeerMessage, options: SendOptions) => {
      const partition = 'partition' in message ? message.partition : 0
      return await deliver(owners[partition]?.[Number(host.id)], message, options)
    }
  } as unknown as Pick<MessageBus, 'send'>
  // The view changes with each call: hosts disagree on which of them owns a partition.
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
