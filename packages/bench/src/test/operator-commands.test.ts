import { cp, mkdtemp, readFile, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import test from 'ava'
import { run, ExitCode } from 'cyclamenctl'
import { StoreStandin } from '@cyclamenthread/standins'
import { Caller } from '../lib/caller.js'
import { Deployment, OPERATOR_TOKEN, bearerTokenFor } from '../lib/deployment.js'
import { EIGHT_HOSTS } from '../lib/deployment-plan.js'
import { EmbeddedHost } from '../lib/service-host.js'
import type { DeploymentPlan } from '../lib/deployment-plan.js'
import type { ExecutionContext } from 'ava'

const EXAMPLE = fileURLToPath(new URL('../../../../examples/chalk-squares', import.meta.url))

/** Timeout for a condition that normally holds within seconds, in milliseconds. */
const SETTLE_MS = 30_000

const THREE_HOSTS: DeploymentPlan = {
  ...EIGHT_HOSTS,
  domains: EIGHT_HOSTS.domains.map((domain) => ({ ...domain, hosts: 1, engines: 1 })),
  ledgerPartitions: 2
}

/** Exit code and JSON output of a command. */
interface CommandOutput {
  readonly exit: ExitCode
  readonly result: Record<string, unknown>
  readonly problems: string
}

/** Runs a command of `cyclamenctl` with `--json`. */
async function runCommand (words: string, environment: Readonly<Record<string, string>>, ...rest: string[]): Promise<CommandOutput> {
  const lines: string[] = []
  const exit = await run([...words.split(' '), ...rest, '--json'], { environment, out: (line) => lines.push(line), error: (line) => lines.push(line) })
  const document = JSON.parse(lines.join('\n')) as { readonly ok: boolean, readonly exitCode: number, readonly result?: Record<string, unknown>, readonly problems?: readonly string[] }
  return { exit, result: document.result ?? {}, problems: (document.problems ?? []).join('\n') }
}

async function copyExample (t: ExecutionContext): Promise<string> {
  const folder = await mkdtemp(join(tmpdir(), 'declarations-'))
  t.teardown(async () => await rm(folder, { recursive: true }))
  await cp(EXAMPLE, folder, { recursive: true })
  return folder
}

async function replaceInFile (folder: string, file: string, from: string, to: string): Promise<void> {
  const path = join(folder, file)
  const text = await readFile(path, 'utf8')
  await writeFile(path, text.replace(from, to))
}

async function startStore (t: ExecutionContext): Promise<{ readonly store: StoreStandin, readonly environment: Record<string, string> }> {
  const store = new StoreStandin()
  await store.listen()
  t.teardown(async () => await store.close())
  return { store, environment: { CYCLAMENTHREAD_STORE_URL: store.url } }
}

async function waitFor (condition: () => Promise<boolean>): Promise<boolean> {
  const until = Date.now() + SETTLE_MS
  while (Date.now() < until) {
    if (await condition()) return true
    await new Promise((resolve) => setTimeout(resolve, 50))
  }
  return false
}

test('a plan shows the changes, and applying it is refused if the catalogue or the folder has changed since', async (t) => {
  const { environment } = await startStore(t)
  const folder = await copyExample(t)
  const file = join(folder, 'plan.json')
  t.is((await runCommand('apply', environment, folder)).result['revision'], 1)
  t.deepEqual((await runCommand('plan', environment, folder)).result['changes'], [])

  await replaceInFile(folder, 'services.yaml', 'timeoutMs: 10000', 'timeoutMs: 3000')
  const plan = await runCommand('plan', environment, folder, '--out', file)
  t.deepEqual(plan.result['changes'], [{ change: 'changed', kind: 'entry', name: 'pitches', fields: [{ field: 'timeoutMs', before: 10_000, after: 3_000 }] }])
  const grant = await runCommand('keys grant', environment, 'booking-desk', 'desk-1', '--folder', folder)
  t.is(grant.result['revision'], 2)

  const refused = await runCommand('apply', environment, folder, '--plan', file)
  t.is(refused.exit, ExitCode.Conflict)
  t.regex(refused.problems, /against revision 1, but revision 2 is in force/)
  t.is((await runCommand('apply', environment, folder, '--expect-revision', '1')).exit, ExitCode.Conflict)
  t.is((await runCommand('plan', environment, folder, '--out', file)).exit, ExitCode.Success)
  await replaceInFile(folder, 'services.yaml', 'timeoutMs: 3000', 'timeoutMs: 4000')
  t.regex((await runCommand('apply', environment, folder, '--plan', file)).problems, /folder changed since/)
  await replaceInFile(folder, 'services.yaml', 'timeoutMs: 4000', 'timeoutMs: 3000')
  t.is((await runCommand('apply', environment, folder, '--plan', file)).result['revision'], 3)
  t.is((await runCommand('apply', environment, folder, '--plan', file)).exit, ExitCode.Conflict)
})

test('applying an older folder does not restore a withdrawn key', async (t) => {
  const { environment } = await startStore(t)
  const folder = await copyExample(t)
  await runCommand('apply', environment, folder)
  const { token } = (await runCommand('keys grant', environment, 'booking-desk', 'desk-1', '--folder', folder)).result
  t.regex(String(token), /^desk-1_[0-9a-f]{64}$/)
  t.false((await readFile(join(folder, 'key-desk-1.yaml'), 'utf8')).includes(String(token).slice('desk-1_'.length)))
  const older = await copyExample(t)
  await cp(folder, older, { recursive: true })

  t.is((await runCommand('keys withdraw', environment, 'desk-1', '--folder', folder)).exit, ExitCode.Success)
  t.regex(await readFile(join(folder, 'key-desk-1.yaml'), 'utf8'), /withdrawn: true/)
  const applied = await runCommand('apply', environment, older)
  t.deepEqual(applied.result['keptWithdrawn'], ['desk-1'])
  await rm(join(folder, 'key-desk-1.yaml'))
  t.is((await runCommand('apply', environment, folder)).exit, ExitCode.Success)
  t.deepEqual((await runCommand('apply', environment, older)).result['keptWithdrawn'], ['desk-1'])
  t.regex((await runCommand('keys grant', environment, 'booking-desk', 'desk-1')).problems, /withdrawn; expected a new key id/)
})

test('a withdrawn key stays withdrawn after its workspace is removed and declared again', async (t) => {
  const { environment } = await startStore(t)
  const folder = await copyExample(t)
  await runCommand('apply', environment, folder)
  await runCommand('keys grant', environment, 'inspection', 'inspection-1', '--folder', folder)
  const older = await copyExample(t)
  await cp(folder, older, { recursive: true })
  await rm(join(folder, 'key-inspection-1.yaml'))
  await replaceInFile(folder, 'workspaces.yaml', 'name: inspection', 'name: inspection-2')
  t.is((await runCommand('apply', environment, folder)).exit, ExitCode.Success)
  t.deepEqual((await runCommand('apply', environment, older)).result['keptWithdrawn'], ['inspection-1'])
})

test('concurrent key grants all take effect, and one of two concurrent applies is refused', async (t) => {
  const { environment } = await startStore(t)
  const folder = await copyExample(t)
  await runCommand('apply', environment, folder)
  const grants = await Promise.all(Array.from({ length: 6 }, async (_, index) => await runCommand('keys grant', environment, 'booking-desk', `desk-${index}`)))
  t.deepEqual(grants.map((grant) => grant.exit), grants.map(() => ExitCode.Success))
  t.deepEqual(grants.map((grant) => Number(grant.result['revision'])).sort((a, b) => a - b), [2, 3, 4, 5, 6, 7])
  const edits = await Promise.all(['5000', '6000'].map(async (timeout) => {
    const own = await copyExample(t)
    await replaceInFile(own, 'models.yaml', 'timeoutMs: 300000', `timeoutMs: ${timeout}`)
    return own
  }))
  const applies = await Promise.all(edits.map(async (own) => await runCommand('apply', environment, own, '--expect-revision', '7')))
  t.deepEqual(applies.map((apply) => apply.exit).sort(), [ExitCode.Success, ExitCode.Conflict])
})

test('a command succeeds although the store\'s response was lost, and changes nothing while the store is down', async (t) => {
  const { store, environment } = await startStore(t)
  const folder = await copyExample(t)
  store.faults.lostAnswers = 1
  t.is((await runCommand('apply', environment, folder)).result['revision'], 1)
  t.is((await runCommand('keys grant', environment, 'booking-desk', 'desk-1', '--folder', folder)).result['revision'], 2)
  t.deepEqual((await runCommand('plan', environment, folder)).result['changes'], [])
  store.faults.down = true
  t.is((await runCommand('keys withdraw', environment, 'desk-1')).exit, ExitCode.Unavailable)
  store.faults.down = false
  t.is((await runCommand('keys withdraw', environment, 'desk-1')).result['revision'], 3)
})

test.serial('operator commands on a running deployment: keys with --wait, explain, verify, usage and drain', async (t) => {
  const deployment = new Deployment(THREE_HOSTS, EmbeddedHost.start)
  t.teardown(async () => await deployment.stop())
  await deployment.start()
  const [url = ''] = deployment.urls
  const environment = { CYCLAMENTHREAD_STORE_URL: deployment.storeUrl, CYCLAMENCTL_HOST_URL: url, CYCLAMENTHREAD_OPERATOR_TOKEN: OPERATOR_TOKEN }

  const grant = await runCommand('keys grant', environment, 'desk', 'desk-2', '--wait')
  t.is(grant.exit, ExitCode.Success)
  t.is((grant.result['rollout'] as { reached: string[] }).reached.length, 3)
  const callers = deployment.urls.map((host) => new Caller(host, String(grant.result['token'])))
  const booked = await Promise.all(callers.map(async (caller) => await caller.book({ pitch: 1 })))
  t.deepEqual(booked.map((answer) => answer.status), [201, 201, 201])

  const requestId = String(booked[0]?.headers['x-request-id'])
  const explained = await runCommand('explain', environment, requestId)
  t.deepEqual((explained.result['steps'] as Array<{ kind: string }>).map((step) => step.kind), ['queued', 'granted', 'released'])
  t.is(explained.result['workspace'], 'desk')
  t.is((await runCommand('explain', environment, 'no-such-request')).exit, ExitCode.Failed)
  const verified = await runCommand('verify', environment)
  t.is(verified.exit, ExitCode.Success)
  t.true((verified.result['chains'] as unknown[]).length > 0)

  t.true(await waitFor(async () => {
    const usage = await runCommand('usage', environment, '--workspace', 'desk')
    return (usage.result['workspaces'] as Array<{ calls: number }>)[0]?.calls === 3
  }))

  t.is((await runCommand('keys withdraw', environment, 'desk-2', '--wait')).exit, ExitCode.Success)
  t.deepEqual(await Promise.all(callers.map(async (caller) => (await caller.book({ pitch: 2 })).status)), [401, 401, 401])

  t.regex((await runCommand('drain', environment, 'host-9')).problems, /expected one of host-/)
  const drained = await runCommand('drain', environment, 'host-castlegate-0')
  t.deepEqual([drained.exit, drained.result['left']], [ExitCode.Success, true])
  t.is((await new Caller(url, bearerTokenFor('desk')).book({ pitch: 3 })).status, 201)
})

test.serial('the operator API refuses requests without the token and does not exist if no token is set', async (t) => {
  const plan = { ...THREE_HOSTS, domains: THREE_HOSTS.domains.slice(0, 1) }
  const routes = [['GET', '/operator/v1/status'], ['POST', '/operator/v1/drain'], ['GET', '/operator/v1/decisions'], ['GET', '/operator/v1/requests/x/decisions']] as const
  const statuses = async (url: string, token: string): Promise<number[]> => await Promise.all(routes.map(async ([method, path]) => (await new Caller(url, token).send(method, path)).status))

  const guarded = new Deployment(plan, EmbeddedHost.start)
  t.teardown(async () => await guarded.stop())
  await guarded.start()
  for (const token of ['', 'wrong', `${OPERATOR_TOKEN}x`, bearerTokenFor('desk')]) t.deepEqual(await statuses(guarded.urls[0] ?? '', token), [401, 401, 401, 401])
  t.true((await fetch(`${guarded.urls[0]}/readyz`)).ok)
  t.is((await runCommand('verify', { CYCLAMENCTL_HOST_URL: guarded.urls[0] ?? '', CYCLAMENTHREAD_OPERATOR_TOKEN: 'wrong' })).exit, ExitCode.Usage)

  const open = new Deployment(plan, async ({ CYCLAMENTHREAD_OPERATOR_TOKEN: _, ...environment }) => await EmbeddedHost.start(environment))
  t.teardown(async () => await open.stop())
  await open.start()
  t.deepEqual(await statuses(open.urls[0] ?? '', OPERATOR_TOKEN), [404, 404, 404, 404])
})
