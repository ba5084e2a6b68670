import test from 'ava'
import fc from 'fast-check'
import { decideOwnership, decideWorkPermission, isSilenceConclusive, ownerOf, OwnershipStep, RolloutProgress, WorkPermission } from '@cyclamenthread/state'
import { rolloutOrder } from '@cyclamenthread/state/testing'

/** Time within which an end must stop all samples of its rollout, in milliseconds, as the platform's pages state it. */
const CANCEL_BOUND_MS = 3_000

test('a host takes a rollout over only from an ended process or one that it could not reach itself', (t) => {
  const step = (owner: string, writer: string, ownerUnreachable: boolean): OwnershipStep => decideOwnership({ owner, writer, ownerUnreachable })
  t.is(step('h1', 'h1/a', false), OwnershipStep.Run)
  t.is(step('h1/a', 'h1/a', false), OwnershipStep.Run)
  t.is(step('h1/a', 'h1/b', false), OwnershipStep.Claim)
  t.is(step('', 'h2/a', false), OwnershipStep.Claim)
  t.is(step('h1/a', 'h2/a', false), OwnershipStep.Refer)
  t.is(step('h1/a', 'h2/a', true), OwnershipStep.Claim)
})

test('restart of all hosts: a host that was held up itself does not hold the silence of the owner against it', (t) => {
  t.true(isSilenceConclusive(1_000, 400))
  t.true(isSilenceConclusive(1_000, 1_020))
  t.false(isSilenceConclusive(1_000, 1_900))
})

test('the last claim in the log names the owner, before it the assignment', (t) => {
  const progress = new RolloutProgress()
  const order = rolloutOrder(1, 1, { owner: 'h1' })
  t.is(ownerOf(order, progress), 'h1')
  for (const writer of ['h2/a', 'h3/b']) progress.apply({ writer, results: [], texts: [], ended: false, claim: true })
  progress.apply({ writer: 'h1/a', results: [], texts: [], ended: false })
  t.is(ownerOf(order, progress), 'h3/b')
})

test('no work starts on a log copy that is older than the bound on ends while the store answers this host', (t) => {
  const times = fc.record({ now: fc.nat({ max: 60_000 }), confirmedAgo: fc.nat({ max: 20_000 }), answeredAgo: fc.nat({ max: 2_500 }), isContested: fc.boolean() })
  fc.assert(fc.property(times, ({ now, confirmedAgo, answeredAgo, isContested }) => {
    const permission = decideWorkPermission({ confirmedAt: now - confirmedAgo, storeAnsweredAt: now - answeredAgo, isContested }, now)
    if (confirmedAgo >= CANCEL_BOUND_MS || isContested) t.is(permission, WorkPermission.ConfirmFirst)
  }), { seed: 20_261_204, numRuns: 2_000 })
})

test('in an outage of the store work goes on, and the log is read meanwhile', (t) => {
  t.is(decideWorkPermission({ confirmedAt: 0, storeAnsweredAt: 0, isContested: false }, 2_000), WorkPermission.ConfirmFirst)
  t.is(decideWorkPermission({ confirmedAt: 0, storeAnsweredAt: 0, isContested: false }, 2_600), WorkPermission.ConfirmMeanwhile)
  t.is(decideWorkPermission({ confirmedAt: 0, storeAnsweredAt: 0, isContested: true }, 2_600), WorkPermission.ConfirmFirst)
})
