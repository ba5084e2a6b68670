import test from 'ava'
import { HostState } from '@cyclamenthread/state'
import { selectHosts } from '../lib/select-hosts.js'
import type { Member } from '@cyclamenthread/coordination'

function member (id: string, failureDomain: string, region: string, state = HostState.Alive): Member {
  return { host: { id, failureDomain, region, peerAddress: '', callerUrl: '', hasDataFolder: false }, state }
}

const MEMBERS = [
  member('a', 'leith-walk', 'lothian'), member('b', 'leith-walk', 'lothian'), member('c', 'grassmarket', 'lothian'), member('d', 'castlegate', 'grampian')
]

function ids (members: readonly Member[], failureDomain: string, region: string): string[] {
  return selectHosts(members, { failureDomain, region }, 64).map((host) => host.id)
}

test('callers are sent to their own failure domain if it has more than one host', (t) => {
  t.deepEqual(ids(MEMBERS, 'leith-walk', 'lothian'), ['a', 'b'])
  t.deepEqual(ids(MEMBERS, 'grassmarket', 'lothian'), ['a', 'b', 'c'])
})

test('a region without hosts is served by the others', (t) => {
  t.deepEqual(ids(MEMBERS, 'x', 'elsewhere'), ['a', 'b', 'c', 'd'])
})

test('a host that leaves or is suspected is given to nobody while others live', (t) => {
  const members = [member('a', 'leith-walk', 'lothian', HostState.Leaving), member('b', 'leith-walk', 'lothian', HostState.Suspect), ...MEMBERS.slice(2)]
  t.deepEqual(ids(members, 'leith-walk', 'lothian'), ['c'])
})

test('when every host is suspected they are given all the same', (t) => {
  t.deepEqual(ids([member('b', 'leith-walk', 'lothian', HostState.Suspect)], 'leith-walk', 'lothian'), ['b'])
})
