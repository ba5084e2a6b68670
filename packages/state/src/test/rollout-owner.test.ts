import test from 'ava'
import { decideOwnership, ownerOf, OwnershipStep, RolloutProgress } from '@cyclamenthread/state'
import { rolloutOrder } from '@cyclamenthread/state/testing'

test('a host takes a rollout over only from an ended process or one that it could not reach itself', (t) => {
  const step = (owner: string, writer: string, ownerUnreachable: boolean): OwnershipStep => decideOwnership({ owner, writer, ownerUnreachable })
  t.is(step('h1', 'h1/a', false), OwnershipStep.Run)
  t.is(step('h1/a', 'h1/a', false), OwnershipStep.Run)
  t.is(step('h1/a', 'h1/b', false), OwnershipStep.Claim)
  t.is(step('', 'h2/a', false), OwnershipStep.Claim)
  t.is(step('h1/a', 'h2/a', false), OwnershipStep.Refer)
  t.is(step('h1/a', 'h2/a', true), OwnershipStep.Claim)
})

test('the last claim in the log names the owner, before it the assignment', (t) => {
  const progress = new RolloutProgress()
  const order = rolloutOrder(1, 1, { owner: 'h1' })
  t.is(ownerOf(order, progress), 'h1')
  for (const writer of ['h2/a', 'h3/b']) progress.apply({ writer, results: [], texts: [], ended: false, claim: true })
  progress.apply({ writer: 'h1/a', results: [], texts: [], ended: false })
  t.is(ownerOf(order, progress), 'h3/b')
})
