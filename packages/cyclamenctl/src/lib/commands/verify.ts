import { unreachable, verifyChain } from '@cyclamenthread/state'
import { deadlineAfter } from '@cyclamenthread/transport'
import { readWitnesses } from '../chain-witnesses.js'
import { failedReport } from '../command.js'
import { ExitCode } from '../exit-code.js'
import { connectOperatorClient } from '../operator-client.js'
import { withStore } from '../operator-store.js'
import type { ChainedDecision, ChainCheckResult } from '@cyclamenthread/state'
import type { ChainWitnesses } from '../chain-witnesses.js'
import type { Command } from '../command.js'

/** Longest the ledger may take to be read, in milliseconds. */
const LEDGER_READ_TIMEOUT_MS = 30_000

/** What was found of one chain. */
export interface ChainFinding {
  readonly chain: string
  readonly records: number
  readonly verdict: ChainCheckResult
  /** Sequence up to which the ledger vouches for the chain; 0 when it holds no hash of it yet. */
  readonly witnessed: number
}

/** What was found of all chains. */
export interface VerifyResult {
  readonly chains: readonly ChainFinding[]
  /** Hosts whose records could not be read. */
  readonly unreachable: readonly string[]
  /** Chains of which the ledger holds a hash, and which no host that was asked has. */
  readonly unchecked: readonly string[]
}

/** `cyclamenctl verify`: checks the hash chains of decision records. */
export const verify: Command<VerifyResult> = {
  words: 'verify',
  parameters: [],
  flags: ['storeUrl', 'hostUrl', 'platformUrl'],
  summary: 'Check the hash chains of the decision records',
  help: `Reads the decision records that every running process holds, checks that none was
changed, removed or moved, and compares them with the hashes in the ledger. Chains of
processes that have ended are named and not checked. Exit code 1 when a chain does not
hold, 6 when a host's records could not be read. Needs the operator token in
CYCLAMENTHREAD_OPERATOR_TOKEN.

Example
  cyclamenctl verify --store-url http://10.0.0.9:9000 --host-url http://10.0.0.1:8000`,
  run: async (context) => await withStore(context, async (store) => {
    const client = await connectOperatorClient(context)
    if (!client.ok) return client
    const status = await client.value.readStatus()
    if (!status.ok) return status
    // The ledger goes first: what it holds by now must be in the chains that are read later.
    const witnesses = await readWitnesses(store.objects, deadlineAfter(LEDGER_READ_TIMEOUT_MS))
    if (witnesses === undefined) return failedReport(ExitCode.Unavailable, 'the ledger can\'t be read whole')
    const records: ChainedDecision[] = []
    const unreachable: string[] = []
    for (const host of status.value.hosts) {
      const chain = await client.value.forHost(host.callerUrl).readChain()
      if (chain.ok) records.push(...chain.value)
      else unreachable.push(host.id)
    }
    const chains = checkChains(records, witnesses)
    const unchecked = [...witnesses.keys()].filter((name) => !chains.some((finding) => finding.chain === name)).sort()
    return { ok: true, exit: exitCodeOf(chains, unreachable), result: { chains, unreachable, unchecked } }
  }),
  render: ({ chains, unreachable, unchecked }) => [
    ...chains.map((finding) => `${finding.chain}: ${formatVerdict(finding)}`),
    ...unreachable.map((host) => `${host}: its records can't be read`),
    ...unchecked.map((chain) => `${chain}: not checked, its process has ended or holds no records`)
  ]
}

/**
 * Checks records chain by chain against the hashes in the ledger.
 *
 * @example
 * checkChains(records, witnesses).every((finding) => finding.verdict.kind === 'whole')
 */
export function checkChains (records: readonly ChainedDecision[], witnesses: ChainWitnesses): ChainFinding[] {
  const names = [...new Set(records.map((record) => record.chain))]
  return names.map((chain) => {
    const own = records.filter((record) => record.chain === chain)
    const witness = witnesses.get(chain)
    return { chain, records: own.length, verdict: verifyChain(own, witness), witnessed: witness?.sequence ?? 0 }
  })
}

function formatVerdict ({ records, verdict, witnessed }: ChainFinding): string {
  switch (verdict.kind) {
    case 'whole': return `${records} records, whole; the ledger vouches up to record ${witnessed}`
    case 'broken': return `broken at record ${verdict.sequence}`
    case 'truncated': return `ends at record ${verdict.to}, but the ledger holds the hash of record ${verdict.expected}`
    case 'forged': return `record ${verdict.sequence} is not the one whose hash the ledger holds`
    default: return unreachable(verdict)
  }
}

function exitCodeOf (chains: readonly ChainFinding[], unreachable: readonly string[]): ExitCode {
  if (chains.some((finding) => finding.verdict.kind !== 'whole')) return ExitCode.Failed
  return unreachable.length > 0 ? ExitCode.Incomplete : ExitCode.Success
}
