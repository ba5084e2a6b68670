import { access, readdir, readFile } from 'node:fs/promises'
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { parseEnv } from 'node:util'
import test from 'ava'
import { COMMANDS, FLAG_TABLE, formatFlag, readDeclaredCatalogue } from 'cyclamenctl'
import { ClientGuard, registerEntryMetrics, MeteredLog, readSettings } from 'cyclamenthread'
import { EndpointTable, EntryKind, WorkClass } from '@cyclamenthread/state'
import { Deployment } from '../lib/deployment.js'
import { SINGLE_HOST } from '../lib/deployment-plan.js'
import { EmbeddedHost } from '../lib/service-host.js'
import { REFERENCE_TABLES, replaceTables } from '../lib/reference.js'
import { readPages } from '../lib/write-reference.js'

const ROOT = fileURLToPath(new URL('../../../..', import.meta.url))

const EXAMPLES = [
  { name: 'chalk-squares', regions: ['grampian', 'lothian'], domains: ['castlegate', 'grassmarket', 'leith-walk'] },
  { name: 'amp-charging', regions: ['deutschschweiz', 'romandie'], domains: ['bern', 'lausanne', 'zuerich'] }
] as const

/** Reads the READMEs and the documentation pages. */
async function readAllPages (): Promise<Array<{ readonly path: string, readonly text: string }>> {
  const paths = [join(ROOT, 'README.md'), ...EXAMPLES.map(({ name }) => join(ROOT, 'examples', name, 'README.md')), ...(await readPages()).map((page) => page.path)]
  return await Promise.all(paths.map(async (path) => ({ path, text: await readFile(path, 'utf8') })))
}

function sortedUnique (values: readonly string[]): string[] {
  return [...new Set(values)].sort()
}

test('the generated tables in the docs are up to date (otherwise run npm run docs)', async (t) => {
  const all = await readPages()
  for (const page of all) t.is(page.text, page.expected, page.path)
  const text = all.map((page) => page.text).join('\n')
  for (const name of Object.keys(REFERENCE_TABLES)) t.true(text.includes(`<!-- table ${name} -->`), name)
  t.not(replaceTables('<!-- table settings -->\nold\n<!-- end -->'), '<!-- table settings -->\nold\n<!-- end -->')
  t.throws(() => replaceTables('<!-- table no-such -->\n<!-- end -->'))
})

test('the commands in the docs exist and have the flags shown', async (t) => {
  let seen = 0
  for (const { path, text } of await readAllPages()) {
    for (const [line, words = ''] of text.matchAll(/npx cyclamenctl ([^\n`]+)/g)) {
      seen += 1
      const command = COMMANDS.find((known) => `${words} `.startsWith(`${known.words} `))
      t.truthy(command, `${path}: ${line}`)
      const known = ['--json', '--help', ...(command?.flags ?? []).map(formatFlag)]
      for (const flag of words.match(/--[a-z-]+/g) ?? []) t.true(known.includes(flag), `${path}: ${line}: ${flag}`)
    }
  }
  t.true(seen > 20)
  for (const command of COMMANDS) {
    for (const flag of command.help.match(/(?<=\s)--[a-z-]+/g) ?? []) t.true(Object.keys(FLAG_TABLE).map(formatFlag).includes(flag), `${command.words}: ${flag}`)
  }
})

test('relative links in the docs point to existing files', async (t) => {
  for (const { path, text } of await readAllPages()) {
    for (const [, target = ''] of text.matchAll(/\]\((?!https?:|#)([^)#]+)/g)) await t.notThrowsAsync(access(join(dirname(path), target)), `${path}: ${target}`)
  }
})

test('the metrics named in the docs exist', async (t) => {
  const deployment = new Deployment(SINGLE_HOST, EmbeddedHost.start)
  t.teardown(async () => await deployment.stop())
  await deployment.start()
  await fetch(`${deployment.urls[0]}/v1/requests/x/decisions`)
  const own = await (await fetch(`${deployment.urls[0]}/metrics`)).text()
  const log = new MeteredLog({ record: () => {} })
  registerEntryMetrics(log, { jsonLog: { dropped: 0 }, service: { ready: true, deployment: { endpointTable: new EndpointTable() }, rollouts: { running: 0 }, capacity: { missingEndpoints: () => [] } }, storeCalls: new Map(), guard: new ClientGuard() })
  // The docs name the metrics of the service and of its entry process.
  const metrics = own + await log.renderMetrics()
  const text = (await readPages()).map((page) => page.text).join('\n')
  const named = [...text.matchAll(/(cyclamenthread_[a-z_]+)(\{\w+="\w+")?/g)]
  t.true(named.length > 5)
  for (const [, name = '', label] of named) {
    if (name.startsWith('cyclamenthread_') && text.includes(name)) t.true(metrics.includes(label === undefined ? `# HELP ${name} ` : name + label), name + (label ?? ''))
  }
})

for (const { name, regions, domains } of EXAMPLES) {
  test(`the example ${name} is valid and has the documented number of hosts and endpoints`, async (t) => {
    const folder = join(ROOT, 'examples', name)
    const read = await readDeclaredCatalogue(folder)
    t.deepEqual(read.ok ? [] : read.failure, [])
    if (!read.ok) return
    const { workspaces, entries, pools } = read.value
    const endpointsOf = (kind: EntryKind): number => pools.filter((pool) => pool.kind === kind).flatMap((pool) => pool.endpoints).length
    t.deepEqual([workspaces.length, endpointsOf(EntryKind.Model), endpointsOf(EntryKind.Service)], [8, 8, 3])
    t.true(workspaces.some((workspace) => workspace.weight >= 3))
    t.deepEqual(sortedUnique(entries.map((entry) => entry.class)), Object.values(WorkClass).sort())
    t.true(entries.some((entry) => entry.open) && entries.some((entry) => entry.stalenessBound !== undefined))
    const endpoints = pools.flatMap((pool) => pool.endpoints)
    t.deepEqual([sortedUnique(endpoints.map((endpoint) => endpoint.region)), sortedUnique(endpoints.map((endpoint) => endpoint.failureDomain))], [[...regions], [...domains]])
    t.true(pools.some((pool) => pool.capacity.some((rule) => rule.cheap)))

    const settings = join(folder, 'settings')
    const common = parseEnv(await readFile(join(settings, 'common.env'), 'utf8'))
    const hosts = await Promise.all((await readdir(settings)).filter((file) => file.startsWith('host-')).map(async (file) => {
      return readSettings({}, { ...common, ...parseEnv(await readFile(join(settings, file), 'utf8')), CYCLAMENTHREAD_CLUSTER_SECRET: 'a-secret-for-this-test' })
    }))
    t.deepEqual(hosts.flatMap((host) => host.ok ? [] : host.failure), [])
    const valid = hosts.flatMap((host) => host.ok ? [host.value] : [])
    t.is(sortedUnique(valid.map((host) => host.hostId)).length, 8)
    t.is(sortedUnique(valid.flatMap((host) => [host.callerAddress, host.peerAddress])).length, 16)
    t.deepEqual(sortedUnique(valid.map((host) => host.failureDomain)), [...domains])
  })
}
