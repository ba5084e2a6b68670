import { findBreak } from '@cyclamenthread/state'
import { ExitCode } from '../exit-code.js'
import { operatorClient } from '../operator-client.js'
import type { ChainedDecision } from '@cyclamenthread/state'
import type { Command } from '../command.js'

/** What was found of one chain. */
export interface ChainFinding {
  readonly chain: string
  readonly records: number
  /** Sequence of the first record that does not fit; absent when all do. */
  readonly breakAt?: number
}

/** What was found of all chains. */
export interface VerifyResult {
  readonly chains: readonly ChainFinding[]
  /** Hosts whose records could not be read. */
  readonly unreachable: readonly string[]
}

/** `cyclamenctl verify`: checks the hash chains of decision records. */
export const verify: Command<VerifyResult> = {
  words: 'verify',
  parameters: [],
  flags: ['hostUrl', 'platformUrl'],
  summary: 'Check the hash chains of the decision records',
  help: `Reads the decision records that every host keeps and checks that none was changed,
removed or moved. Exit code 1 when a chain is broken, 6 when a host's records could not
be read. Needs the operator token in CYCLAMENTHREAD_OPERATOR_TOKEN.

Example
  cyclamenctl verify --host-url http://10.0.0.1:8000`,
  run: async (context) => {
    const client = await operatorClient(context)
    if (!client.ok) return client
    const status = await client.value.status()
    if (!status.ok) return status
    const chains: ChainFinding[] = []
    const unreachable: string[] = []
    for (const host of status.value.hosts) {
      const records = await client.value.at(host.callerUrl).chain()
      if (records.ok) chains.push(...checkChains(records.value))
      else unreachable.push(host.id)
    }
    return { ok: true, exit: exitOf(chains, unreachable), result: { chains, unreachable } }
  },
  render: ({ chains, unreachable }) => [
    ...chains.map((finding) => finding.breakAt === undefined
      ? `${finding.chain}: ${finding.records} records, whole`
      : `${finding.chain}: broken at record ${finding.breakAt} of ${finding.records}`),
    ...unreachable.map((host) => `${host}: its records can't be read`)
  ]
}

/**
 * Checks records chain by chain.
 *
 * @example
 * checkChains(records).every((finding) => finding.breakAt === undefined)
 */
export function checkChains (records: readonly ChainedDecision[]): ChainFinding[] {
  const names = [...new Set(records.map((record) => record.chain))]
  return names.map((chain) => {
    const own = records.filter((record) => record.chain === chain)
    const breakAt = findBreak(own)
    return { chain, records: own.length, ...(breakAt === undefined ? {} : { breakAt }) }
  })
}

function exitOf (chains: readonly ChainFinding[], unreachable: readonly string[]): ExitCode {
  if (chains.some((finding) => finding.breakAt !== undefined)) return ExitCode.Failed
  return unreachable.length > 0 ? ExitCode.Incomplete : ExitCode.Success
}
