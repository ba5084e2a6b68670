import { failure, IsolationPolicy, notRun, RefusalReason, success } from '@cyclamenthread/state'
import type { IncomingMessage } from 'node:http'
import type { KeyGuard } from '@cyclamenthread/coordination'
import type { CatalogueView, Entry, Key, Outcome, Refusal, Workspace } from '@cyclamenthread/state'

/** When an isolated host may have its proof back, in milliseconds. */
const ISOLATED_RETRY_AFTER_MS = 1_000

/** Workspace under which work of open entries is accounted. */
export const OPEN_WORKSPACE: Workspace = { name: 'open', owner: 'everyone', weight: 1, limits: {} }

/** A caller whose key was proved, or one of an open entry. */
export interface Caller {
  readonly workspace: Workspace
  /** Undefined for callers of open entries that sent no key. */
  readonly key: Key | undefined
}

/** The bearer token of a request, or empty. */
export function readBearerToken (request: IncomingMessage): string {
  const header = request.headers.authorization ?? ''
  return /^bearer /i.test(header) ? header.slice('bearer '.length).trim() : ''
}

/**
 * The key that a request holds on to. When it is withdrawn, what the request
 * still may abort is aborted: it leaves queues, restartable work is cancelled and
 * held reads end. A call that may not be repeated is not aborted once it runs.
 */
export class KeyWatch {
  readonly #guard: KeyGuard
  readonly #abort: () => void
  #unsubscribe: () => void = () => {}
  #withdrawn = false

  /** @param abort aborts the request */
  constructor (guard: KeyGuard, abort: () => void) {
    this.#guard = guard
    this.#abort = abort
  }

  /** Whether this host can tell which keys are in force. */
  get isCurrent (): boolean {
    return this.#guard.isCurrent()
  }

  /** Starts to hold a key; false when it is already withdrawn. */
  start (keyId: string): boolean {
    if (this.#guard.isWithdrawn(keyId)) return false
    this.#unsubscribe()
    this.#unsubscribe = this.#guard.watchKey(keyId, () => {
      this.#withdrawn = true
      this.#abort()
    })
    return true
  }

  /** Ends the hold with the request. */
  stop (): void {
    this.#unsubscribe()
  }

  /** Names the withdrawal as the reason of a refusal that came of it. */
  explainRefusal (refusal: Refusal): Refusal {
    return this.#withdrawn ? { reason: RefusalReason.Unauthorized, ran: refusal.ran, detail: 'the key was withdrawn' } : refusal
  }
}

/** What admission needs to know of a request besides its headers. */
export interface AdmissionContext {
  readonly view: CatalogueView
  readonly keyWatch: KeyWatch
}

/**
 * Proves who calls. The key goes no further than this.
 *
 * @param policy what to do when this host can't prove its catalogue current
 * @example
 * const caller = authenticate(context, request)
 */
export function authenticate (context: AdmissionContext, request: IncomingMessage, policy = IsolationPolicy.Refuse): Outcome<Caller, Refusal> {
  const token = readBearerToken(request)
  const key = token === '' ? undefined : context.view.authenticate(token)
  if (key === undefined) return failure(notRun(RefusalReason.Unauthorized, 'a valid key is required as bearer token'))
  if (policy === IsolationPolicy.Refuse && !context.keyWatch.isCurrent) {
    return failure(notRun(RefusalReason.Isolated, 'this host can\'t tell whether the key is still in force', ISOLATED_RETRY_AFTER_MS))
  }
  if (!context.keyWatch.start(key.id)) return failure(notRun(RefusalReason.Unauthorized, 'the key was withdrawn'))
  const workspace = context.view.workspace(key.workspace)
  if (workspace === undefined) return failure(notRun(RefusalReason.Forbidden, 'the workspace of this key no longer exists'))
  return success({ workspace, key })
}

/**
 * Decides whether a request may use an entry.
 *
 * @example
 * const admitted = admit(context, request, 'critique')
 */
export function admit (context: AdmissionContext, request: IncomingMessage, entryName: string): Outcome<{ readonly caller: Caller, readonly entry: Entry }, Refusal> {
  const entry = context.view.entry(entryName)
  if (entry?.open === true && readBearerToken(request) === '') return success({ caller: { workspace: OPEN_WORKSPACE, key: undefined }, entry })
  const caller = authenticate(context, request, entry?.whenIsolated)
  if (!caller.ok) return caller
  if (entry === undefined) return failure(notRun(RefusalReason.UnknownEntry, `there is no entry ${JSON.stringify(entryName)}`))
  const allowed = caller.value.key?.entries
  if (allowed !== undefined && !allowed.includes(entry.name)) return failure(notRun(RefusalReason.Forbidden, `this key may not use ${entry.name}`))
  return success({ caller: caller.value, entry })
}
