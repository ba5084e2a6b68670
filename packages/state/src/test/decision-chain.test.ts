import test from 'ava'
import fc from 'fast-check'
import { DecisionChain, verifyChain } from '../lib/decision-chain.js'
import type { Decision } from '../lib/cell-event.js'
import type { ChainedDecision } from '../lib/decision-chain.js'

const SEED = 20_261_204
const RUNS = 1_000

function decision (index: number, reason: string): Decision {
  return { kind: 'granted', requestId: `r${index}`, workspace: 'w', entry: 'e', class: 'booking', endpoint: 'x', waiting: [], reason } as unknown as Decision
}

function chainOf (length: number, reason = ''): ChainedDecision[] {
  const chain = new DecisionChain('host/1')
  return Array.from({ length }, (_, index) => chain.append(decision(index, reason), index))
}

const length = fc.integer({ min: 4, max: 40 })
const position = fc.nat()

test(`a changed, removed or moved record is detected at any position (seed ${SEED})`, (t) => {
  fc.assert(fc.property(length, position, fc.constantFrom('change', 'remove', 'move', 'cut'), (size, at, tampering) => {
    const records = chainOf(size)
    const last = records.at(-1)
    const checkpoint = { sequence: size, hash: last?.hash ?? '' }
    if (verifyChain(records, checkpoint).kind !== 'whole') return false
    // Any position but the first and the last, for which other results apply.
    const index = 1 + at % (size - 2)
    const record = records[index] as ChainedDecision
    if (tampering === 'change') records[index] = { ...record, decision: decision(index, 'other') }
    if (tampering === 'remove') records.splice(index, 1)
    if (tampering === 'move') records.splice(index, 2, ...[records[index + 1], record].flatMap((item) => item ?? []))
    if (tampering === 'cut') records.splice(index)
    return verifyChain(records, checkpoint).kind === (tampering === 'cut' ? 'truncated' : 'broken')
  }), { seed: SEED, numRuns: RUNS })
  t.pass()
})

test('a completely rewritten chain is detected by the hash in the ledger', (t) => {
  const records = chainOf(10)
  const checkpoint = { sequence: 8, hash: records[7]?.hash ?? '' }
  t.deepEqual(verifyChain(chainOf(10, 'other'), checkpoint), { kind: 'forged', sequence: 8 })
  t.is(verifyChain(chainOf(10, 'other'), undefined).kind, 'whole')
})

test('records removed by log rotation are not reported as missing', (t) => {
  t.deepEqual(verifyChain(chainOf(10).slice(4), undefined), { kind: 'whole', from: 5, to: 10 })
})
