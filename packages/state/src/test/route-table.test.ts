import test from 'ava'
import { drawService, RouteDenial, RouteKind, RouteTable } from '@cyclamenthread/state'
import type { Declaration, Route } from '@cyclamenthread/state'

function route (name: string, pathPrefix: string, changes: Partial<Route> = {}): Route {
  return {
    name,
    host: 'desk.example',
    pathPrefix,
    kind: RouteKind.Idempotent,
    shares: [{ service: 'desk', weight: 1 }],
    timeoutMs: 2_000,
    targetMs: 200,
    maxAttempts: 2,
    open: false,
    dueMs: 0,
    sampleLifetimeMs: 0,
    singleVersion: false,
    ...changes
  }
}

const DECLARATION: Declaration = {
  version: 7,
  routes: [route('short', '/p/'), route('long', '/p/q/'), route('open', '/o/', { open: true })],
  services: [],
  workspaces: [{ name: 'office', keys: ['k1', 'k2'] }],
  limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 }
}

test('the longest matching prefix of the host is used', (t) => {
  const match = new RouteTable(DECLARATION).match('desk.example', '/p/q/r?x=1', 'k2')
  t.is(match.ok && match.route.name, 'long')
  t.is(match.ok && match.workspace, 'office')
})

test('a prefix matches complete path segments only', (t) => {
  t.deepEqual(new RouteTable(DECLARATION).match('desk.example', '/pq', 'k1'), { ok: false, denial: RouteDenial.NoRoute })
})

test('an unknown key is denied, except on open routes', (t) => {
  const table = new RouteTable(DECLARATION)
  t.deepEqual(table.match('desk.example', '/p/', 'k9'), { ok: false, denial: RouteDenial.UnknownKey })
  t.deepEqual(table.match('desk.example', '/p/', undefined), { ok: false, denial: RouteDenial.UnknownKey })
  t.true(table.match('desk.example', '/o/1', undefined).ok)
})

// Guards against a deployment that is open to everybody once its last key is withdrawn (ROUTE, CONFIG).
test('without a key left every request is denied, except on open routes; without declared workspaces none needs a key', (t) => {
  for (const workspaces of [[], [{ name: 'office', keys: [] }]]) {
    const table = new RouteTable({ ...DECLARATION, workspaces })
    for (const key of ['k1', 'k9', '', undefined]) t.deepEqual(table.match('desk.example', '/p/', key), { ok: false, denial: RouteDenial.UnknownKey })
    t.true(table.match('desk.example', '/o/1', undefined).ok)
  }
  const match = new RouteTable({ ...DECLARATION, workspaces: undefined }).match('desk.example', '/p/', undefined)
  t.true(match.ok && match.workspace === undefined)
})

test('requests of a split route are distributed by the shares of its services', (t) => {
  const split = route('split', '/', { shares: [{ service: 'a', weight: 90 }, { service: 'b', weight: 10 }] })
  t.is(drawService(split, 0), 'a')
  t.is(drawService(split, 0.899), 'a')
  t.is(drawService(split, 0.901), 'b')
  t.is(drawService(split, 0.999_999), 'b')
})
