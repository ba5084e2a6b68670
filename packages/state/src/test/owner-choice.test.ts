import test from 'ava'
import { chooseOwner } from '@cyclamenthread/state'

const host = (hostId: string, foreignSamples: number | undefined, processorCores = 0.5): { hostId: string, foreignSamples: number | undefined, processorCores: number } => ({ hostId, foreignSamples, processorCores })

test('several trainers on one host: a new step goes to the next host that runs nothing', (t) => {
  t.is(chooseOwner([host('h1', 160), host('h2', 0), host('h3', 0)], 96), 'h2')
})

test('a workspace stays on its preferred host while that host is about as free as the others', (t) => {
  t.is(chooseOwner([host('h1', 20), host('h2', 0)], 96), 'h1')
})

test('hosts of unequal size: the work for each core counts', (t) => {
  t.is(chooseOwner([host('h1', 0, 0.324), host('h2', 30, 1.35)], 160), 'h2')
})

test('a host that does not answer is passed over, unless none answers', (t) => {
  t.is(chooseOwner([host('h1', undefined), host('h2', 500)], 96), 'h2')
  t.is(chooseOwner([host('h1', undefined), host('h2', undefined)], 96), 'h1')
  t.is(chooseOwner([], 96), undefined)
})
