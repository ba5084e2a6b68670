import test from 'ava'
import fc from 'fast-check'
import { DecisionChain, DecisionKind, WorkClass } from '@cyclamenthread/state'
import { checkChains } from '../lib/commands/verify.js'
import type { ChainedDecision } from '@cyclamenthread/state'

const SEED = 20261204
const RUNS = 1_000

function chainOf (name: string, length: number, workspace = 'desk'): ChainedDecision[] {
  const chain = new DecisionChain(name)
  return Array.from({ length }, (_, index) => chain.append({ kind: DecisionKind.Queued, requestId: `r${index}`, workspace, entry: 'pitches', class: WorkClass.Booking, endpoint: '', waiting: index, reason: 'arrived' }, index))
}

const damages = fc.record({ length: fc.integer({ min: 2, max: 30 }), at: fc.nat(), kind: fc.constantFrom('change', 'remove', 'move', 'rewrite') })

test(`a chain with a changed, removed or moved record, or rewritten as a whole, fails verification; other chains don't (seed ${SEED}, ${RUNS} runs)`, (t) => {
  fc.assert(fc.property(damages, ({ length, at, kind }) => {
    const whole = chainOf('host-1/a', length)
    const other = chainOf('host-2/b', length)
    const checkpoints = new Map([whole, other].map((records) => [records[0]?.chain ?? '', { sequence: length, hash: records.at(-1)?.hash ?? '' }]))
    t.true(checkChains([...whole, ...other], checkpoints).every((finding) => finding.verdict.kind === 'whole'))
    const place = at % (length - 1)
    const damaged = [...whole]
    const record = whole[place]
    if (record === undefined) return
    if (kind === 'change') damaged[place] = { ...record, decision: { ...record.decision, workspace: 'another' } }
    if (kind === 'remove') damaged.splice(length - 1 - place, 1)
    if (kind === 'move') damaged.splice(place, 2, ...whole.slice(place, place + 2).reverse())
    if (kind === 'rewrite') damaged.splice(0, length, ...chainOf('host-1/a', length, 'another'))
    const [first, second] = checkChains([...damaged, ...other], checkpoints)
    t.not(first?.verdict.kind, 'whole', kind)
    t.is(second?.verdict.kind, 'whole')
  }), { seed: SEED, numRuns: RUNS })
})
