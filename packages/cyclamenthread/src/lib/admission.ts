import { failure, notRun, RefusalReason, success } from '@cyclamenthread/state'
import type { IncomingMessage } from 'node:http'
import type { CatalogueView, Entry, Key, Outcome, Refusal, Workspace } from '@cyclamenthread/state'

/** Workspace under which work of open entries is accounted. */
export const OPEN_WORKSPACE: Workspace = { name: 'open', owner: 'everyone', weight: 1, limits: {} }

/** A caller whose key was proved, or one of an open entry. */
export interface Caller {
  readonly workspace: Workspace
  /** Undefined for callers of open entries that sent no key. */
  readonly key: Key | undefined
}

/** The bearer token of a request, or empty. */
export function bearerToken (request: IncomingMessage): string {
  const header = request.headers.authorization ?? ''
  return /^bearer /i.test(header) ? header.slice('bearer '.length).trim() : ''
}

/**
 * Proves who calls. The key goes no further than this.
 *
 * @example
 * const caller = authenticate(view, request)
 */
export function authenticate (view: CatalogueView, request: IncomingMessage): Outcome<Caller, Refusal> {
  const token = bearerToken(request)
  const key = token === '' ? undefined : view.authenticate(token)
  if (key === undefined) return failure(notRun(RefusalReason.Unauthorized, 'a valid key is required as bearer token'))
  const workspace = view.workspace(key.workspace)
  if (workspace === undefined) return failure(notRun(RefusalReason.Forbidden, 'the workspace of this key no longer exists'))
  return success({ workspace, key })
}

/**
 * Decides whether a request may use an entry.
 *
 * @example
 * const admitted = admit(view, request, 'critique')
 */
export function admit (view: CatalogueView, request: IncomingMessage, entryName: string): Outcome<{ readonly caller: Caller, readonly entry: Entry }, Refusal> {
  const entry = view.entry(entryName)
  if (entry?.open === true && bearerToken(request) === '') return success({ caller: { workspace: OPEN_WORKSPACE, key: undefined }, entry })
  const caller = authenticate(view, request)
  if (!caller.ok) return caller
  if (entry === undefined) return failure(notRun(RefusalReason.UnknownEntry, `there is no entry ${JSON.stringify(entryName)}`))
  const allowed = caller.value.key?.entries
  if (allowed !== undefined && !allowed.includes(entry.name)) return failure(notRun(RefusalReason.Forbidden, `this key may not use ${entry.name}`))
  return success({ caller: caller.value, entry })
}
