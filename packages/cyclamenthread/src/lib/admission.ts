import { failure, IsolationPolicy, notRun, RefusalReason, success } from '@cyclamenthread/state'
import type { IncomingMessage } from 'node:http'
import type { KeyGuard } from '@cyclamenthread/coordination'
import type { CatalogueView, Entry, Key, Outcome, Refusal, Workspace } from '@cyclamenthread/state'

/** Retry delay sent by a host that is isolated from the store, in milliseconds; by then it may have confirmed its catalogue again. */
const ISOLATED_RETRY_AFTER_MS = 1_000

/** Workspace that requests to open entries without a key are accounted to. */
export const OPEN_WORKSPACE: Workspace = { name: 'open', owner: 'everyone', weight: 1, limits: {} }

/** An authenticated caller, or an anonymous caller of an open entry. */
export interface Caller {
  readonly workspace: Workspace
  /** Undefined for anonymous callers of open entries. */
  readonly key: Key | undefined
}

/** Returns the bearer token of a request, or an empty string. */
export function readBearerToken (request: IncomingMessage): string {
  const header = request.headers.authorization ?? ''
  return /^bearer /i.test(header) ? header.slice('bearer '.length).trim() : ''
}

/**
 * Watches the key of a request. When the key is withdrawn, the request is
 * aborted as far as that is safe: it leaves queues, restartable work is
 * cancelled and long-polling reads end. A non-idempotent call that already runs
 * is not aborted.
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

  /** Whether this host can determine which keys are valid. */
  get isCurrent (): boolean {
    return this.#guard.isCurrent()
  }

  /** Starts watching a key; returns false if it is already withdrawn. */
  start (keyId: string): boolean {
    if (this.#guard.isWithdrawn(keyId)) return false
    this.#unsubscribe()
    this.#unsubscribe = this.#guard.watchKey(keyId, () => {
      this.#withdrawn = true
      this.#abort()
    })
    return true
  }

  /** Stops watching, at the end of the request. */
  stop (): void {
    this.#unsubscribe()
  }

  /** Replaces the reason of a refusal by the withdrawal of the key, if that caused it. */
  explainRefusal (refusal: Refusal): Refusal {
    return this.#withdrawn ? { reason: RefusalReason.Unauthorized, ran: refusal.ran, detail: 'the key was withdrawn' } : refusal
  }
}

/** What admission needs besides the headers of a request. */
export interface AdmissionContext {
  readonly view: CatalogueView
  readonly keyWatch: KeyWatch
}

/**
 * Authenticates the caller by its key. The key isn't passed on any further.
 *
 * @param policy what to do if this host can't confirm that its catalogue is current
 * @example
 * const caller = authenticate(context, request)
 */
export function authenticate (context: AdmissionContext, request: IncomingMessage, policy = IsolationPolicy.Refuse): Outcome<Caller, Refusal> {
  const token = readBearerToken(request)
  const key = token === '' ? undefined : context.view.authenticate(token)
  if (key === undefined) return failure(notRun(RefusalReason.Unauthorized, 'a valid key is required as a bearer token'))
  if (policy === IsolationPolicy.Refuse && !context.keyWatch.isCurrent) {
    return failure(notRun(RefusalReason.Isolated, 'this host can\'t determine whether the key is still valid', ISOLATED_RETRY_AFTER_MS))
  }
  if (!context.keyWatch.start(key.id)) return failure(notRun(RefusalReason.Unauthorized, 'the key was withdrawn'))
  const workspace = context.view.workspace(key.workspace)
  if (workspace === undefined) return failure(notRun(RefusalReason.Forbidden, 'the workspace of this key no longer exists'))
  return success({ workspace, key })
}

/**
 * Authenticates the caller and checks whether it may use an entry.
 *
 * @example
 * const admitted = admit(context, request, 'critique')
 */
export function admit (context: AdmissionContext, request: IncomingMessage, entryName: string): Outcome<{ readonly caller: Caller, readonly entry: Entry }, Refusal> {
  const entry = context.view.entry(entryName)
  if (entry?.open === true && readBearerToken(request) === '') return success({ caller: { workspace: OPEN_WORKSPACE, key: undefined }, entry })
  const caller = authenticate(context, request, entry?.whenIsolated)
  if (!caller.ok) return caller
  if (entry === undefined) return failure(notRun(RefusalReason.UnknownEntry, `entry ${JSON.stringify(entryName)} does not exist`))
  const allowed = caller.value.key?.entries
  if (allowed !== undefined && !allowed.includes(entry.name)) return failure(notRun(RefusalReason.Forbidden, `this key is not allowed to use entry ${entry.name}`))
  return success({ caller: caller.value, entry })
}
