import test from 'ava'
import fc from 'fast-check'
import { ApplyResult, LedgerPartition } from '../lib/ledger-partition.js'
import { LedgerRecordKind } from '../lib/ledger-record.js'
import type { LedgerRecord } from '../lib/ledger-record.js'

const SEED = 20_261_204
const RUNS = 1_000

const batchOpen: LedgerRecord = {
  kind: LedgerRecordKind.BatchOpen,
  digest: 'd',
  order: {
    batchId: 'b',
    workspace: 'w',
    entry: 'e',
    samples: ['0', '1', '2', '3'].map((sampleId) => ({ sampleId, group: 'g', prompt: '', maxTokens: 1, expectedTokens: 1 }))
  }
}

function delivery (sampleId: string, text: string): LedgerRecord {
  return {
    kind: LedgerRecordKind.Delivery,
    workspace: 'w',
    batchId: 'b',
    sample: { sampleId, group: 'g', text, versions: [{ version: 1, tokens: 1 }], finishReason: 'stop' },
    usage: { requestId: `${sampleId}/${text}`, workspace: 'w', entry: 'e', promptTokens: 1, answerTokens: 1, calls: 0 }
  }
}

test(`a sample is delivered and billed once however often it is committed (seed ${SEED})`, (t) => {
  const deliveries = fc.array(fc.tuple(fc.integer({ min: 0, max: 3 }), fc.string()), { maxLength: 30 })
  fc.assert(fc.property(deliveries, (attempts) => {
    const partition = new LedgerPartition()
    partition.apply(batchOpen, 1)
    for (const [sample, text] of attempts) partition.apply(delivery(String(sample), text), 1)
    const distinct = new Set(attempts.map(([sample]) => sample)).size
    const events = partition.batch('w/b')?.events ?? []
    return events.length === distinct && (partition.usage(1)[0]?.items ?? 0) === distinct
  }), { seed: SEED, numRuns: RUNS })
  t.pass()
})

test('a claim is held by one request only', (t) => {
  const partition = new LedgerPartition()
  const claim = { kind: LedgerRecordKind.Claim, claimId: 'c', workspace: 'w', requestDigest: 'd', claimedAt: 0 } as const
  t.is(partition.apply({ ...claim, requestId: 'r1' }, 1), ApplyResult.Applied)
  t.is(partition.apply({ ...claim, requestId: 'r1' }, 1), ApplyResult.Duplicate)
  t.is(partition.apply({ ...claim, requestId: 'r2' }, 1), ApplyResult.Rejected)
})
