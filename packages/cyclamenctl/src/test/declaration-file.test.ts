import test from 'ava'
import fc from 'fast-check'
import { EntryKind, FencingSupport, IsolationPolicy, WorkClass } from '@cyclamenthread/state'
import { formatDeclarations, toCatalogue, toDeclarations } from '../lib/declaration-catalogue.js'
import { checkDeclarations } from '../lib/declaration-check.js'
import { MAX_FILE_BYTES, parseDeclarations } from '../lib/declaration-file.js'
import type { Catalogue } from '@cyclamenthread/state'

const SEED = 20261204
const RUNS = 1_000

const WORKSPACE = 'kind: workspace\nname: desk\nowner: booking desk\n'
const KEY = `kind: key\nid: desk-1\nworkspace: desk\nsalt: ${'ab'.repeat(16)}\nhash: ${'a'.repeat(64)}\n`

const name = fc.stringMatching(/^[a-z0-9][a-z0-9.-]{0,20}$/)
const limits = fc.record({ requestsPerSecond: fc.integer({ min: 1 }), tokensPerSecond: fc.integer({ min: 1 }), concurrency: fc.integer({ min: 1 }) }, { requiredKeys: [] })
const place = { failureDomain: name, region: name }
const text = fc.string({ minLength: 1, unit: 'grapheme' })

const catalogues: fc.Arbitrary<Catalogue> = fc.record({
  workspaces: fc.uniqueArray(fc.record({ name, owner: text, weight: fc.integer({ min: 1 }), limits }), { selector: (item) => item.name, maxLength: 4 }),
  keys: fc.uniqueArray(fc.record({ id: name, workspace: name, salt: fc.stringMatching(/^[0-9a-f]{32}$/), hash: fc.stringMatching(/^[0-9a-f]{64}$/), withdrawn: fc.boolean() }), { selector: (item) => item.id, maxLength: 4 }),
  entries: fc.uniqueArray(fc.record({
    name,
    owner: text,
    kind: fc.constantFrom(...Object.values(EntryKind)),
    class: fc.constantFrom(...Object.values(WorkClass)),
    pool: name,
    limits,
    open: fc.boolean(),
    idempotentMethods: fc.subarray(['GET', 'HEAD', 'PUT'] as const).map((methods) => [...methods]),
    whenIsolated: fc.constantFrom(...Object.values(IsolationPolicy)),
    timeoutMs: fc.integer({ min: 1 })
  }), { selector: (item) => item.name, maxLength: 4 }),
  pools: fc.uniqueArray(fc.record({
    name,
    kind: fc.constantFrom(...Object.values(EntryKind)),
    endpoints: fc.array(fc.record({ id: name, url: fc.constant('http://127.0.0.1:9000'), ...place, slots: fc.integer({ min: 1 }), cheap: fc.boolean(), fencing: fc.constantFrom(...Object.values(FencingSupport)) }), { maxLength: 3 }),
    capacity: fc.array(fc.record({ ...place, cheap: fc.boolean(), minimum: fc.nat(), maximum: fc.nat() }), { maxLength: 3 })
  }), { selector: (item) => item.name, maxLength: 4 })
})

test(`a valid catalogue survives the way to YAML and back (seed ${SEED}, ${RUNS} runs)`, (t) => {
  fc.assert(fc.property(catalogues.filter((catalogue) => toDeclarations(catalogue).length > 0), (catalogue) => {
    const sorted = toCatalogue(toDeclarations(catalogue))
    const read = parseDeclarations('all.yaml', formatDeclarations(toDeclarations(catalogue)))
    t.deepEqual(read.faults, [])
    t.deepEqual(toCatalogue(read.declarations.map((declarations) => declarations.declaration)), sorted)
  }), { seed: SEED, numRuns: RUNS })
})

const damage = fc.record({ at: fc.nat(), length: fc.nat({ max: 8 }), by: fc.oneof(fc.string(), fc.constantFrom('&a', '*a', '<<: ', '---\n', '\t', '!!binary ', '"', '[', '{', '\0', '? ', '['.repeat(40), '- '.repeat(40))) })
const damagedTexts = fc.array(damage, { minLength: 1, maxLength: 4 }).map((damages) => damages.reduce((text, { at, length, by }) => {
  const start = at % (text.length + 1)
  return text.slice(0, start) + by + text.slice(start + length)
}, `${WORKSPACE}---\n${KEY}`))

test(`no text makes the reader throw, and what it refuses has a line (seed ${SEED}, ${RUNS} runs each)`, (t) => {
  for (const texts of [fc.string(), fc.string({ unit: 'binary' }), damagedTexts]) {
    fc.assert(fc.property(texts, (given) => {
      const { declarations, faults } = parseDeclarations('any.yaml', given)
      t.true(declarations.length + faults.length > 0)
      const lines = given.split('\n').length
      for (const fault of [...faults, ...checkDeclarations(declarations)]) t.true(fault.line >= 1 && fault.line <= lines + 1 && fault.message !== '', `${fault.line}: ${fault.message}`)
    }), { seed: SEED, numRuns: RUNS })
  }
})

/** A text and the faults it must be refused with, as `line: part of the message`. */
const FAULTY: ReadonlyArray<readonly [string, string, ReadonlyArray<readonly [number, RegExp]>]> = [
  ['an empty file', '', [[1, /holds no declaration/]]],
  ['an empty document', `${WORKSPACE}---\n`, [[4, /empty/]]],
  ['a key given twice', `${WORKSPACE}owner: another\n`, [[4, /unique/]]],
  ['anchor and alias', 'kind: workspace\nname: &a desk\nowner: *a\n', [[2, /anchors/], [3, /anchors/]]],
  ['an unknown kind', 'kind: workspce\nname: desk\n', [[1, /expected one of workspace, key, entry, pool/]]],
  ['a list', '- 1\n- 2\n', [[1, /expected/]]],
  ['a scalar', 'desk\n', [[1, /expected/]]],
  ['an unknown field', `${WORKSPACE}wieght: 2\n`, [[4, /wieght: unknown field; did you mean weight\?/]]],
  ['several at once', 'kind: workspace\nname: Desk\nweight: -1\nlimits:\n  concurrency: 0\n', [[2, /name: .*lower-case/], [1, /owner: missing; expected string/], [3, /weight: .*>0/], [5, /limits.concurrency: .*>0/]]],
  ['a number for a text', 'kind: workspace\nname: desk\nowner: 42\n', [[3, /expected string, received number; put the value in quotes/]]],
  ['nesting of open lists', '['.repeat(100_000), [[1, /deeper than 32 levels/]]],
  ['nesting of closed lists', '['.repeat(50_000) + ']'.repeat(50_000), [[1, /deeper than 32 levels/]]],
  ['nesting of maps', '{a: '.repeat(50_000) + '}'.repeat(50_000), [[1, /deeper than 32 levels/]]],
  ['nesting of block lists', `${'- '.repeat(50_000)}x`, [[1, /deeper than 32 levels/]]],
  ['a huge file', '#'.repeat(MAX_FILE_BYTES + 1), [[1, /exceeds 1048576 bytes/]]]
]

for (const [title, given, expected] of FAULTY) {
  test(`refused with line and expectation: ${title}`, (t) => {
    const { faults } = parseDeclarations('file.yaml', given)
    for (const [line, message] of expected) {
      t.true(faults.some((fault) => fault.line === line && message.test(fault.message)), `${line} ${String(message)} in ${JSON.stringify(faults.slice(0, 5))}`)
    }
    if (expected.length > 1) t.is(faults.length, expected.length)
  })
}

test('faults between declarations are named', (t) => {
  const endpoint = (region: string): string => `  - { id: e1, url: 'http://127.0.0.1:1', region: ${region}, failureDomain: leith-walk, slots: 1 }\n`
  const { declarations, faults } = parseDeclarations('file.yaml', [
    WORKSPACE, WORKSPACE, 'kind: workspace\nname: open\nowner: x\n', KEY.replace('workspace: desk', 'workspace: absent'),
    'kind: entry\nname: critique\nowner: x\ntype: service\nclass: booking\npool: engines\nstalenessBound: 1\n',
    `kind: pool\nname: engines\ntype: model\nendpoints:\n${endpoint('lothian')}${endpoint('grampian')}capacity:\n  - { failureDomain: castlegate, region: grampian, cheap: true, minimum: 2, maximum: 1 }\n`
  ].join('---\n'))
  t.deepEqual(faults, [])
  const messages = checkDeclarations(declarations).map((fault) => `${fault.line}: ${fault.message}`)
  for (const expected of [
    /^5: workspace desk is declared twice; first at file.yaml:1/, /^9: workspace open.*reserved/, /^13: key desk-1 refers to workspace absent/,
    /^19: entry critique: type is service; expected model/, /^19: entry critique: stalenessBound/, /^27: endpoint e1 is declared twice/,
    /^27: failure domain leith-walk is in region grampian here and in lothian elsewhere/, /^27: pool engines: capacity in castlegate has minimum 2; expected at most its maximum, 1/
  ]) t.true(messages.some((message) => expected.test(message)), `${String(expected)} in ${JSON.stringify(messages)}`)
  t.is(messages.length, 8)
})
