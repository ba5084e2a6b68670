import test from 'ava'
import { nextInRing } from '@cyclamenthread/state'

// Guards against a host that no other one probes in a period, so that its crash is noticed late.
test('in the ring, each host is followed by exactly one other, whatever hosts there are', (t) => {
  for (let count = 2; count <= 60; count += 1) {
    const ids = Array.from({ length: count }, (_, index) => `host-${index}`)
    const followers = ids.flatMap((id) => nextInRing(id, ids.filter((other) => other !== id), 1))
    t.deepEqual([...new Set(followers)].sort(), [...ids].sort())
  }
  t.deepEqual(nextInRing('host-0', [], 1), [])
})
