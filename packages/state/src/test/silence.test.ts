import test from 'ava'
import { isSilenceConclusive } from '@cyclamenthread/state'

test('restart of all hosts: a host that was held up itself does not hold the silence of the owner against it', (t) => {
  t.true(isSilenceConclusive(1_000, 400))
  t.true(isSilenceConclusive(1_000, 1_020))
  t.false(isSilenceConclusive(1_000, 1_900))
})
