import { LedgerRecordKind } from '@cyclamenthread/state'
import { decodeJson, ledgerHeadKey, parseLedgerHead, parseLedgerSegment, parseLedgerPage, StorePurpose } from '@cyclamenthread/protocol'
import type { ChainCheckpoint, LedgerRecord, PartitionItem } from '@cyclamenthread/state'
import type { LedgerHead, ObjectStore, StoreCall, StoredRecord } from '@cyclamenthread/protocol'

/** The last hash that the ledger holds of each decision chain, by the chain's name. */
export type ChainWitnesses = ReadonlyMap<string, ChainCheckpoint>

/**
 * Reads from the ledger the last hash of every decision chain.
 *
 * @param objects the object service
 * @param deadline monotonic milliseconds
 * @returns the hashes, or undefined when the ledger can't be read whole
 * @example
 * (await readWitnesses(objects, deadlineAfter(20_000)))?.get('host-1/ab12')
 */
export async function readWitnesses (objects: ObjectStore, deadline: number): Promise<ChainWitnesses | undefined> {
  const call: StoreCall = { purpose: StorePurpose.Other, deadline }
  const witnesses = new Map<string, ChainCheckpoint>()
  for (let partition = 0; ; partition++) {
    const found = await objects.read(ledgerHeadKey(partition), call)
    if (!found.ok) return undefined
    if (found.value === undefined) return witnesses
    const head = parseLedgerHead(found.value.value)
    const partial = head === undefined ? undefined : await readPartitionWitnesses(objects, head, call)
    if (partial === undefined) return undefined
    for (const { chain, ...witness } of partial) {
      const known = witnesses.get(chain)
      if (known === undefined || known.sequence < witness.sequence) witnesses.set(chain, witness)
    }
  }
}

/** A hash and the chain it is of. */
interface NamedWitness extends ChainCheckpoint {
  readonly chain: string
}

async function readPartitionWitnesses (objects: ObjectStore, head: LedgerHead, call: StoreCall): Promise<NamedWitness[] | undefined> {
  const pages = await readReferencedObjects(objects, head.snapshot, parseLedgerPage, call)
  const segments = await readReferencedObjects(objects, head.segments, parseLedgerSegment, call)
  if (pages === undefined || segments === undefined) return undefined
  const items = pages.join('').split('\n').filter((line) => line !== '').map((line) => decodeJson(line) as PartitionItem)
  const anchors = items.flatMap((item) => item.kind === 'anchor' ? [item.anchor] : [])
  return [...anchors, ...[...segments.flat(), ...head.open].flatMap(toNamedWitness)]
}

function toNamedWitness (stored: StoredRecord): NamedWitness[] {
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
