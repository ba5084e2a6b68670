import { unreachable, verifyChain } from '@cyclamenthread/state'
import { deadlineAfter } from '@cyclamenthread/transport'
import { readCheckpoints } from '../chain-checkpoints.js'
import { failedReport } from '../command.js'
import { ExitCode } from '../exit-code.js'
import { connectOperatorClient } from '../operator-client.js'
import { withStore } from '../operator-store.js'
import type { ChainedDecision, ChainCheckResult } from '@cyclamenthread/state'
import type { ChainCheckpoints } from '../chain-checkpoints.js'
import type { Command } from '../command.js'

/** Timeout for reading the ledger, in milliseconds. */
const LEDGER_READ_TIMEOUT_MS = 30_000

/** Result of the check of one chain. */
export interface ChainFinding {
  readonly chain: string
  readonly records: number
  readonly verdict: ChainCheckResult
  /** Sequence number of the last record confirmed by a hash in the ledger; 0 if the ledger has no hash of the chain yet. */
  readonly witnessed: number
}

/** Result of `verify`. */
export interface VerifyResult {
  readonly chains: readonly ChainFinding[]
  /** Ids of the hosts whose records could not be read. */
  readonly unreachable: readonly string[]
  /** Chains that have a hash in the ledger but no records on any host. */
  readonly unchecked: readonly string[]
}

/** `cyclamenctl verify`: checks the hash chains of the decision records. */
export const verify: Command<VerifyResult> = {
  words: 'verify',
  parameters: [],
  flags: ['storeUrl', 'hostUrl', 'platformUrl'],
  summary: 'Check the hash chains of the decision records',
  help: `Reads the decision records of every running process, checks that none was changed,
removed or moved, and compares them with the hashes in the ledger. Chains of processes
that have ended are listed but not checked. Exit code 1 if a chain is invalid, 6 if the
records of a host could not be read. Needs the operator token in
CYCLAMENTHREAD_OPERATOR_TOKEN.

Example
  cyclamenctl verify --store-url http://10.0.0.9:9000 --host-url http://10.0.0.1:8000`,
  run: async (context) => await withStore(context, async (store) => {
    const client = await connectOperatorClient(context)
    if (!client.ok) return client
    const status = await client.value.readStatus()
    if (!status.ok) return status
    // The ledger is read first, so that every hash in it must match a record of the chains, which are read later.
    const checkpoints = await readCheckpoints(store.objects, deadlineAfter(LEDGER_READ_TIMEOUT_MS))
    if (checkpoints === undefined) return failedReport(ExitCode.Unavailable, 'the ledger can\'t be read completely')
    const records: ChainedDecision[] = []
    const unreachable: string[] = []
    for (const host of status.value.hosts) {
      const chain = await client.value.forHost(host.callerUrl).readChain()
      if (chain.ok) records.push(...chain.value)
      else unreachable.push(host.id)
    }
    const chains = checkChains(records, checkpoints)
    const unchecked = [...checkpoints.keys()].filter((name) => !chains.some((finding) => finding.chain === name)).sort()
    return { ok: true, exit: exitCodeOf(chains, unreachable), result: { chains, unreachable, unchecked } }
  }),
  render: ({ chains, unreachable, unchecked }) => [
    ...chains.map((finding) => `${finding.chain}: ${formatCheckResult(finding)}`),
    ...unreachable.map((host) => `${host}: the records can't be read`),
    ...unchecked.map((chain) => `${chain}: not checked; its process has ended or has no records`)
  ]
}

/**
 * Verifies the records of each chain against the hashes in the ledger.
 *
 * @example
 * checkChains(records, checkpoints).every((finding) => finding.verdict.kind === 'whole')
 */
export function checkChains (records: readonly ChainedDecision[], checkpoints: ChainCheckpoints): ChainFinding[] {
  const names = [...new Set(records.map((record) => record.chain))]
  return names.map((chain) => {
    const own = records.filter((record) => record.chain === chain)
    const checkpoint = checkpoints.get(chain)
    return { chain, records: own.length, verdict: verifyChain(own, checkpoint), witnessed: checkpoint?.sequence ?? 0 }
  })
}

function formatCheckResult ({ records, verdict, witnessed }: ChainFinding): string {
  switch (verdict.kind) {
    case 'whole': return `${records} records, valid; confirmed by the ledger up to record ${witnessed}`
    case 'broken': return `broken at record ${verdict.sequence}`
    case 'truncated': return `ends at record ${verdict.to}, but the ledger holds the hash of record ${verdict.expected}`
    case 'forged': return `record ${verdict.sequence} does not match its hash in the ledger`
    default: return unreachable(verdict)
  }
}

function exitCodeOf (chains: readonly ChainFinding[], unreachable: readonly string[]): ExitCode {
  if (chains.some((finding) => finding.verdict.kind !== 'whole')) return ExitCode.Failed
  return unreachable.length > 0 ? ExitCode.Incomplete : ExitCode.Success
}
