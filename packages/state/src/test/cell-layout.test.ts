import test from 'ava'
import fc from 'fast-check'
import { EntryKind, FencingSupport } from '../lib/catalogue.js'
import { CatalogueView } from '../lib/catalogue-view.js'
import { partitionIntoCells, MAX_CELL_ENDPOINTS } from '../lib/cell-layout.js'
import type { Endpoint } from '../lib/catalogue.js'

const SEED = 20_261_204
const RUNS = 1_000

function cellNamesByEndpoint (ids: readonly string[]): Map<string, string> {
  const endpoints = ids.map((id): Endpoint => ({ id, url: 'http://127.0.0.1', region: 'r', failureDomain: 'd', slots: 1, cheap: false, fencing: FencingSupport.Checked }))
  const view = new CatalogueView(1, { workspaces: [], keys: [], entries: [], pools: [{ name: 'p', kind: EntryKind.Model, endpoints, capacity: [] }] })
  return new Map(partitionIntoCells(view).flatMap((cell) => cell.endpoints.map((endpoint) => [endpoint.id, cell.name])))
}

test(`each endpoint belongs to exactly one cell of at most ${MAX_CELL_ENDPOINTS} (seed ${SEED})`, (t) => {
  fc.assert(fc.property(fc.integer({ min: 1, max: 200 }), (count) => {
    const cells = cellNamesByEndpoint(Array.from({ length: count }, (_, index) => `e${index}`))
    const sizes = new Map<string, number>()
    for (const cell of cells.values()) sizes.set(cell, (sizes.get(cell) ?? 0) + 1)
    return cells.size === count && Math.max(...sizes.values()) <= MAX_CELL_ENDPOINTS
  }), { seed: SEED, numRuns: RUNS })
  t.pass()
})

test('removing an endpoint moves less than one other on average while the number of cells is constant', (t) => {
  const ids = Array.from({ length: 170 }, (_, index) => `e${index}`)
  const before = cellNamesByEndpoint(ids)
  const moves = ids.map((left) => {
    const after = cellNamesByEndpoint(ids.filter((id) => id !== left))
    return [...after].filter(([id, cell]) => before.get(id) !== cell).length
  })
  t.is(new Set(before.values()).size, 11)
  t.true(moves.reduce((sum, moved) => sum + moved, 0) < ids.length)
})
