import { IncomingMessage } from 'node:http'
import { Socket } from 'node:net'
import test from 'ava'
import { CatalogueView, EntryKind, hashKey, IsolationPolicy, Ran, RefusalReason, WorkClass } from '@cyclamenthread/state'
import { admit, KeyWatch } from '../lib/admission.js'
import type { Entry } from '@cyclamenthread/state'
import type { KeyGuard } from '@cyclamenthread/coordination'
import type { AdmissionContext } from '../lib/admission.js'

const TOKEN = 'desk-key_0123456789abcdef'
const SALT = '00'.repeat(16)
const common: Omit<Entry, 'name'> = {
  owner: 'test', kind: EntryKind.Model, class: WorkClass.Interactive, pool: 'engines', limits: {}, open: false, idempotentMethods: [], whenIsolated: IsolationPolicy.Refuse, timeoutMs: 1_000
}
const view = new CatalogueView(1, {
  workspaces: [{ name: 'desk', owner: 'test', weight: 1, limits: {} }],
  keys: [{ id: 'desk-key', workspace: 'desk', salt: SALT, hash: hashKey(SALT, TOKEN), withdrawn: false }],
  entries: [
    { ...common, name: 'strict' },
    { ...common, name: 'lenient', whenIsolated: IsolationPolicy.Serve },
    { ...common, name: 'open', open: true }
  ],
  pools: []
})

function context (guard: Partial<KeyGuard>, abort: () => void = () => {}): AdmissionContext {
  const whole: KeyGuard = { isCurrent: () => true, isWithdrawn: () => false, watchKey: () => () => {}, ...guard }
  return { view, keyWatch: new KeyWatch(whole, abort) }
}

function request (token: string): IncomingMessage {
  const message = new IncomingMessage(new Socket())
  if (token !== '') message.headers.authorization = `Bearer ${token}`
  return message
}

test('an isolated host refuses requests with a key as not run, unless the entry allows them or is open', (t) => {
  const isolated = context({ isCurrent: () => false })
  t.like(admit(isolated, request(TOKEN), 'strict'), { ok: false, failure: { reason: RefusalReason.Isolated, ran: Ran.No } })
  t.true(admit(isolated, request(TOKEN), 'lenient').ok)
  t.true(admit(isolated, request(''), 'open').ok)
})

test('refuses a key whose withdrawal is known before the host\'s own catalogue shows it', (t) => {
  const withdrawn = context({ isWithdrawn: () => true })
  t.like(admit(withdrawn, request(TOKEN), 'strict'), { ok: false, failure: { reason: RefusalReason.Unauthorized, ran: Ran.No } })
})

test('a key that is withdrawn during a request aborts it and becomes the reason of its refusal', (t) => {
  let onWithdrawn = (): void => {}
  let aborted = false
  const held = context({
    watchKey: (_, listener) => {
      onWithdrawn = listener
      return () => {}
    }
  }, () => {
    aborted = true
  })
  t.true(admit(held, request(TOKEN), 'strict').ok)
  onWithdrawn()
  t.true(aborted)
  const refusal = { reason: RefusalReason.Cancelled, ran: Ran.Maybe, detail: '' }
  t.like(held.keyWatch.explainRefusal(refusal), { reason: RefusalReason.Unauthorized, ran: Ran.Maybe })
})

test('refuses a wrong secret, an unknown key and a missing key in the same way', (t) => {
  for (const token of ['desk-key_wrong', 'other-key_0123456789abcdef', '', TOKEN.slice(0, -1)]) {
    t.like(admit(context({}), request(token), 'strict'), { ok: false, failure: { reason: RefusalReason.Unauthorized, ran: Ran.No } })
  }
})
