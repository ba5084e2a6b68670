import test from 'ava'
import { readSettings, secretFlagWarnings } from '../lib/read-settings.js'
import { environmentName, SECRET_SETTINGS } from '../lib/settings.js'

const SECRET = 'a-secret-that-must-not-show'

const VALID = {
  CYCLAMENTHREAD_HOST_ID: 'host-1',
  CYCLAMENTHREAD_REGION: 'lothian',
  CYCLAMENTHREAD_FAILURE_DOMAIN: 'leith-walk',
  CYCLAMENTHREAD_CALLER_ADDRESS: '127.0.0.1:8000',
  CYCLAMENTHREAD_PEER_ADDRESS: '127.0.0.1:7000',
  CYCLAMENTHREAD_STORE_URL: 'http://127.0.0.1:9000',
  CYCLAMENTHREAD_STORE_REGION: 'lothian',
  CYCLAMENTHREAD_PLATFORM_URL: 'http://127.0.0.1:9001',
  CYCLAMENTHREAD_CLUSTER_SECRET: SECRET
}

function errorsOf (environment: Readonly<Record<string, string>>, flags: Readonly<Record<string, unknown>> = {}): readonly string[] {
  const read = readSettings(flags, { PATH: '/bin', ...VALID, ...environment })
  return read.ok ? [] : read.failure
}

test('accepts valid settings; flags override the environment, and an empty variable counts as not set', (t) => {
  const read = readSettings({ hostId: 'host-2' }, { ...VALID, CYCLAMENTHREAD_DATA_FOLDER: '' })
  t.true(read.ok)
  if (!read.ok) return
  t.is(read.value.hostId, 'host-2')
  t.is(read.value.dataFolder, undefined)
  t.is(read.value.leaseMs, 10_000)
})

const INVALID_SETTINGS: ReadonlyArray<readonly [Readonly<Record<string, string>>, RegExp]> = [
  [{ CYCLAMENTHREAD_HOST_ID: '' }, /host-id .*is missing/],
  [{ CYCLAMENTHREAD_HST_ID: 'x' }, /HST_ID: unknown setting; did you mean CYCLAMENTHREAD_HOST_ID\?/],
  [{ CYCLAMENTHREAD_CALLER_ADDRESS: '0.0.0.0:8000' }, /caller-address .*that others can reach/],
  [{ CYCLAMENTHREAD_CALLER_ADDRESS: '127.0.0.1:65536' }, /caller-address .*that others can reach/],
  [{ CYCLAMENTHREAD_CALLER_ADDRESS: 'host.example:80' }, /caller-address .*that others can reach/],
  [{ CYCLAMENTHREAD_PEER_ADDRESS: '127.0.0.1:8000' }, /peer-address .*must differ from the address/],
  [{ CYCLAMENTHREAD_STORE_URL: 'ftp://x' }, /store-url .*expected a URL/],
  [{ CYCLAMENTHREAD_LEASE_MS: '4000' }, /lease-ms .*more than 2 times --store-timeout-ms/],
  [{ CYCLAMENTHREAD_LEASE_MS: 'soon' }, /lease-ms .*whole number of milliseconds/],
  [{ CYCLAMENTHREAD_OPERATOR_TOKEN: SECRET }, /operator-token .*must differ from the secret/],
  [{ CYCLAMENTHREAD_CLUSTER_SECRET: 'short-secret' }, /cluster-secret .*at least 16/]
]

test('rejects each invalid setting and reports all errors at once', (t) => {
  for (const [environment, expected] of INVALID_SETTINGS) {
    const errors = errorsOf(environment)
    t.is(errors.length, 1, errors.join('\n'))
    t.regex(errors[0] ?? '', expected)
  }
  t.deepEqual(errorsOf({ CYCLAMENTHREAD_HOST_ID: 'A', CYCLAMENTHREAD_REGION: 'B', CYCLAMENTHREAD_LEASE_MS: '1' }, { regoin: 'x' }).map((error) => error.split(' ')[0]), ['--regoin:', '--host-id', '--region', '--lease-ms'])
})

test('warns about secrets given as flags and never includes a secret in an error', (t) => {
  t.deepEqual(secretFlagWarnings({ hostId: 'x', clusterSecret: SECRET }).length, 1)
  for (const setting of SECRET_SETTINGS) {
    const errors = errorsOf({ [environmentName(setting)]: 'short-secret', CYCLAMENTHREAD_CLUSTER_SECRT: 'short-secret', CYCLAMENTHREAD_STORE_URL: 'short-secret', CYCLAMENTHREAD_LEASE_MS: 'short-secret' })
    t.true(errors.length >= 4)
    t.false(errors.join('\n').includes('short-secret'))
  }
})
