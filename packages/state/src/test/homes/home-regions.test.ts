import test from 'ava'
import { declaredHomes, describeHomes, domainsOfHomes, homesOfRollout, isHome, RouteKind, RouteTable } from '@cyclamenthread/state'
import type { Declaration, Route } from '@cyclamenthread/state'

const REGIONS = { 'leith-walk': 'lothian', castlegate: 'grampian' }

function route (name: string, homes?: readonly string[]): Route {
  return { name, host: 'desk.example', pathPrefix: `/${name}/`, kind: RouteKind.Idempotent, shares: [{ service: 'desk', weight: 1 }], timeoutMs: 1_000, targetMs: 200, maxAttempts: 2, open: false, dueMs: 0, sampleLifetimeMs: 0, singleVersion: false, homes }
}

function declaration (version: number, routes: readonly Route[]): Declaration {
  return {
    version,
    routes,
    services: [],
    workspaces: [{ name: 'office', keys: [], homes: ['lothian'] }, { name: 'school', keys: [] }],
    limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 }
  }
}

test('an empty list of regions doesn\'t bind', (t) => {
  t.is(declaredHomes([]), undefined)
  t.is(declaredHomes(undefined), undefined)
  t.true(isHome(undefined, 'grampian'))
  t.is(domainsOfHomes(undefined, REGIONS), undefined)
})

// Guards against a request that runs in a home of its route which isn't one of its workspace (HOME).
test('the homes of a route and of a workspace both bind', (t) => {
  const table = new RouteTable(declaration(3, [route('pitches', ['lothian', 'grampian']), route('permits', ['grampian']), route('open')]))
  t.deepEqual(table.homesOf(route('pitches'), 'office'), ['lothian'])
  t.deepEqual(table.homesOf(route('pitches'), 'school'), ['lothian', 'grampian'])
  t.deepEqual(table.homesOf(route('permits'), 'office'), [])
  t.is(table.homesOf(route('open'), 'school'), undefined)
  t.deepEqual([...domainsOfHomes(['lothian'], REGIONS) ?? []], ['leith-walk'])
  t.false(isHome([], 'lothian'))
  t.regex(describeHomes([]), /no region/)
})

// Guards against a retry that goes where only an earlier declaration allowed it (HOME, CONFIG).
test('the homes of a request are those in the declaration in force, or its own ones if its route is gone', (t) => {
  const table = new RouteTable(declaration(3, [route('pitches', ['grampian'])]))
  t.deepEqual(table.homesOf(route('pitches', ['lothian']), undefined), ['grampian'])
  t.deepEqual(table.homesOf(route('removed', ['lothian']), undefined), ['lothian'])
})

// Guards against a host that lags behind and runs a rollout outside the homes that a newer declaration has (HOME).
test('a host with an older declaration takes the homes that the order of a rollout states', (t) => {
  const table = new RouteTable(declaration(3, [route('drafts', ['lothian'])]))
  const order = { route: 'drafts', workspace: 'school' }
  t.deepEqual(homesOfRollout({ ...order, homes: { regions: ['grampian'], declaration: 4 } }, table), ['grampian'])
  t.deepEqual(homesOfRollout({ ...order, homes: { regions: ['grampian'], declaration: 3 } }, table), ['lothian'])
  t.deepEqual(homesOfRollout({ ...order, homes: undefined }, table), ['lothian'])
  t.deepEqual(homesOfRollout({ ...order, homes: { regions: ['grampian'], declaration: 1 } }, undefined), ['grampian'])
})

test('the homes of a host name are those of all its routes that have any', (t) => {
  const table = new RouteTable(declaration(3, [route('pitches', ['lothian', 'grampian']), route('permits', ['grampian']), route('open')]))
  t.deepEqual(table.homesOfHost('desk.example'), ['grampian'])
  t.is(table.homesOfHost('other.example'), undefined)
})
