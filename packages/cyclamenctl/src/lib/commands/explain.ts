import { failedReport } from '../command.js'
import { ExitCode } from '../exit-code.js'
import { explainRequest, renderExplanation, findQueueIntervals } from '../explanation.js'
import { connectOperatorClient } from '../operator-client.js'
import type { ChainedDecision } from '@cyclamenthread/state'
import type { Command } from '../command.js'
import type { Explanation } from '../explanation.js'
import type { KnownHost, OperatorClient } from '../operator-client.js'

/** `cyclamenctl explain`: what was decided on a request, and who was served before it. */
export const explain: Command<Explanation> = {
  words: 'explain',
  parameters: ['request-id'],
  flags: ['hostUrl', 'platformUrl'],
  summary: 'Tell who was served before a request, and why',
  help: `The request id is the x-request-id header of the answer. Reads the decision records of
all hosts; needs the operator token in CYCLAMENTHREAD_OPERATOR_TOKEN.

Example
  cyclamenctl explain 5d2f8a52-5a0c-4a58-8f1e-4a2c6f0f7f10 --host-url http://10.0.0.1:8000`,
  run: async (context) => {
    const id = context.input[0] ?? ''
    const client = await connectOperatorClient(context)
    if (!client.ok) return client
    const found = await client.value.readDecisions(id)
    if (!found.ok) return found
    if (found.value.records.length === 0) return failedReport(ExitCode.Failed, `no decision on request ${id} is kept`)
    const status = await client.value.readStatus()
    if (!status.ok) return status
    const surrounding = await readSurroundingRecords(client.value, status.value.hosts, found.value.records)
    const complete = found.value.complete && surrounding !== undefined
    const result = explainRequest(id, found.value.records, surrounding ?? [], complete)
    return { ok: true, exit: ExitCode.Success, result }
  },
  render: renderExplanation
}

/** The records of each chain while the request waited there; undefined when one can't be read whole. */
async function readSurroundingRecords (client: OperatorClient, hosts: readonly KnownHost[], own: readonly ChainedDecision[]): Promise<ChainedDecision[] | undefined> {
  const records: ChainedDecision[] = []
  for (const wait of findQueueIntervals(own)) {
    const host = hosts.find((known) => known.id === wait.chain.split('/')[0])
    if (host === undefined) return undefined
    const chain = await client.forHost(host.callerUrl).readChain(wait.from - 1, wait.to)
    if (!chain.ok) return undefined
    records.push(...chain.value.filter((record) => record.chain === wait.chain))
  }
  return records
}
