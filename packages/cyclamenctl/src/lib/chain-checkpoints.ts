import { LedgerRecordKind } from '@cyclamenthread/state'
import { decodeJson, ledgerHeadKey, parseLedgerHead, parseLedgerSegment, parseLedgerPage, StorePurpose } from '@cyclamenthread/protocol'
import type { ChainCheckpoint, LedgerRecord, PartitionItem } from '@cyclamenthread/state'
import type { LedgerHead, ObjectStore, StoreCall, StoredRecord } from '@cyclamenthread/protocol'

/** The latest hash recorded in the ledger for each decision chain, by the chain's name. */
export type ChainCheckpoints = ReadonlyMap<string, ChainCheckpoint>

/**
 * Reads the latest hash of every decision chain from all ledger partitions.
 *
 * @param objects the object store
 * @param deadline monotonic milliseconds
 * @returns the hashes, or undefined if any part of the ledger can't be read
 * @example
 * (await readCheckpoints(objects, deadlineAfter(20_000)))?.get('host-1/ab12')
 */
export async function readCheckpoints (objects: ObjectStore, deadline: number): Promise<ChainCheckpoints | undefined> {
  const call: StoreCall = { purpose: StorePurpose.Other, deadline }
  const checkpoints = new Map<string, ChainCheckpoint>()
  for (let partition = 0; ; partition++) {
    const found = await objects.read(ledgerHeadKey(partition), call)
    if (!found.ok) return undefined
    if (found.value === undefined) return checkpoints
    const head = parseLedgerHead(found.value.value)
    const partial = head === undefined ? undefined : await readPartitionCheckpoints(objects, head, call)
    if (partial === undefined) return undefined
    for (const { chain, ...checkpoint } of partial) {
      const known = checkpoints.get(chain)
      if (known === undefined || known.sequence < checkpoint.sequence) checkpoints.set(chain, checkpoint)
    }
  }
}

/** A checkpoint together with the name of its chain. */
interface NamedCheckpoint extends ChainCheckpoint {
  readonly chain: string
}

async function readPartitionCheckpoints (objects: ObjectStore, head: LedgerHead, call: StoreCall): Promise<NamedCheckpoint[] | undefined> {
  const pages = await readReferencedObjects(objects, head.snapshot, parseLedgerPage, call)
  const segments = await readReferencedObjects(objects, head.segments, parseLedgerSegment, call)
  if (pages === undefined || segments === undefined) return undefined
  const items = pages.join('').split('\n').filter((line) => line !== '').map((line) => decodeJson(line) as PartitionItem)
  const anchors = items.flatMap((item) => item.kind === 'anchor' ? [item.anchor] : [])
  return [...anchors, ...[...segments.flat(), ...head.open].flatMap(toNamedCheckpoint)]
}

function toNamedCheckpoint (stored: StoredRecord): NamedCheckpoint[] {
  const record = stored.record as LedgerRecord | undefined
  return record?.kind === LedgerRecordKind.ChainHead ? [{ chain: record.chain, sequence: record.sequence, hash: record.hash }] : []
}

async function readReferencedObjects<Value> (objects: ObjectStore, references: ReadonlyArray<{ readonly key: string }>, parse: (value: unknown) => Value | undefined, call: StoreCall): Promise<Value[] | undefined> {
  const values: Value[] = []
  for (const { key } of references) {
    const found = await objects.read(key, call)
    const value = found.ok ? parse(found.value?.value) : undefined
    if (value === undefined) return undefined
    values.push(value)
  }
  return values
}
