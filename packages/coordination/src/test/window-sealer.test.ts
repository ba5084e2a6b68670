import test from 'ava'
import { LedgerRecordKind } from '@cyclamenthread/state'
import { usageWindowKey } from '@cyclamenthread/protocol'
import { MemoryStore, seededRandom, VirtualClock } from '@cyclamenthread/standins'
import { PartitionOwner } from '../lib/partition-owner.js'
import { WindowSealer } from '../lib/window-sealer.js'
import { partitionSettings } from './owner-simulation.js'
import type { LedgerRecord } from '@cyclamenthread/state'
import type { HostSettings } from '../lib/host-settings.js'

const SEED = 20_261_204

/** Commits records in one window, another record in the next, and seals both. */
async function sealTwoWindows (records: readonly LedgerRecord[]): Promise<{ readonly first: unknown, readonly second: unknown, readonly reads: number }> {
  const clock = new VirtualClock()
  const random = seededRandom(SEED)
  const store = new MemoryStore(clock, random)
  const settings = partitionSettings(random)
  const work = (async () => {
    const owner = await PartitionOwner.takeOver(settings, store, () => undefined, clock)
    const window = owner?.window ?? 0
    for (const record of records) await owner?.commit([record], Infinity)
    await clock.sleep(settings.usageWindowMs)
    await owner?.commit([createUsage('later')], Infinity)
    await clock.sleep(settings.usageWindowMs)
    await owner?.advanceWindow()
    const before = store.counts.reads
    const sealer = new WindowSealer({ ledgerPartitions: 1, usageWindowMs: settings.usageWindowMs, storeTimeoutMs: 500 } as HostSettings, store, clock)
    await sealer.sealWindow(window)
    const reads = store.counts.reads - before
    await sealer.sealWindow(window + 1)
    return { first: store.peek(usageWindowKey(window)), second: store.peek(usageWindowKey(window + 1)), reads }
  })()
  await clock.run(10_000)
  return await work
}

function createUsage (requestId: string): LedgerRecord {
  return { kind: LedgerRecordKind.Usage, usage: { requestId, workspace: 'w', entry: 'e', promptTokens: 1, answerTokens: 2, calls: 0 } }
}

test('only a window in which usage was lost is marked as incomplete, with the known usage', async (t) => {
  const loss: LedgerRecord = { kind: LedgerRecordKind.UsageLoss, lossId: 'l', detail: 'a journal was damaged' }
  const { first, second } = await sealTwoWindows([createUsage('r1'), loss, createUsage('r2')])
  t.like(first, { complete: false, totals: [{ workspace: 'w', entry: 'e', promptTokens: 2, answerTokens: 4, calls: 0, items: 2 }] })
  t.like(second, { complete: true, totals: [{ items: 1 }] })
})

test('sealing a window takes as many reads after sixty commits as after one', async (t) => {
  const few = await sealTwoWindows([createUsage('r')])
  const many = await sealTwoWindows(Array.from({ length: 60 }, (_, index) => createUsage(`r${index}`)))
  t.is(many.reads, few.reads)
})
