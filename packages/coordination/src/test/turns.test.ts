import test from 'ava'
import { findTurns } from './turns.js'

const acts = (text: string): { at: number, host: string }[] => [...text].flatMap((host, at) => host === '.' ? [] : [{ at, host }])

test('a turn is a host that acts again within the lease after another host acted', (t) => {
  t.deepEqual(findTurns(acts('ab.a'), 4), [{ host: 'a', before: 0, after: 3 }])
  t.deepEqual(findTurns(acts('ab..a'), 4), [])
  t.deepEqual(findTurns(acts('aabcca'), 6), [{ host: 'a', before: 1, after: 5 }])
  t.deepEqual(findTurns(acts('aaa.bb'), 9), [])
})
