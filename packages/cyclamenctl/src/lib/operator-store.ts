import { isDeepStrictEqual } from 'node:util'
import { unreachable } from '@cyclamenthread/state'
import { ApplyStatus, CatalogueStore, HttpObjectStore } from '@cyclamenthread/protocol'
import { deadlineAfter } from '@cyclamenthread/transport'
import { failed } from './command.js'
import { ExitCode } from './exit-code.js'
import { catalogueDifference } from './catalogue-difference.js'
import { OPERATOR_TOKEN_VARIABLE } from './flag-table.js'
import type { Catalogue } from '@cyclamenthread/state'
import type { ApplyOutcome, ObjectStore, StoredCatalogue } from '@cyclamenthread/protocol'
import type { CommandContext, Failed, Report } from './command.js'

/** Longest one attempt works on the store, in milliseconds. */
const ATTEMPT_MS = 10_000

/** Attempts of a write whose outcome is unknown; the same conditional write has no second effect. */
const ATTEMPTS = 3

/** Changes of others that a commuting change is redone after. */
const REBASES = 10

/** What became of a write of the catalogue. */
export type CatalogueWrite =
  | { readonly ok: true, readonly revision: number }
  | Failed

/** The catalogue in the store as operators change it. */
export class OperatorStore {
  readonly objects: ObjectStore
  readonly #catalogues: CatalogueStore

  constructor (objects: ObjectStore) {
    this.objects = objects
    this.#catalogues = new CatalogueStore(objects)
  }

  /** The catalogue in force, undefined before the first. */
  async read (): Promise<{ readonly ok: true, readonly stored: StoredCatalogue | undefined } | Failed> {
    const read = await this.#catalogues.read(deadlineAfter(ATTEMPT_MS))
    return read.ok ? { ok: true, stored: read.value } : failed(ExitCode.Unavailable, `the store can't be read (${read.failure}); nothing was changed`)
  }

  /**
   * Puts a catalogue in force if what it was planned against still is. An unknown
   * outcome is resolved by sending the same conditional write again: it can take
   * effect only once, whichever of the two arrives.
   *
   * @param next the whole new catalogue
   * @param planned what was in force when `next` was made
   */
  async write (next: Catalogue, planned: StoredCatalogue | undefined): Promise<CatalogueWrite> {
    let unknown = false
    for (let attempt = 1; ; attempt++) {
      const outcome = await this.#catalogues.apply(next, planned, deadlineAfter(ATTEMPT_MS))
      switch (outcome.status) {
        case ApplyStatus.Applied: return { ok: true, revision: outcome.revision ?? 0 }
        case ApplyStatus.Conflict: return unknown ? await this.#settle(next, planned) : conflict(outcome)
        case ApplyStatus.NotWritten:
          if (!unknown) return failed(ExitCode.Unavailable, 'nothing was changed: the store can\'t be written')
          break
        case ApplyStatus.Unknown:
          unknown = true
          break
        default: return unreachable(outcome.status)
      }
      if (attempt >= ATTEMPTS) return unknownOutcome()
    }
  }

  /**
   * Makes a change that commutes with those of others: read, change, write, and
   * again after a conflict. `change` returns a failure to leave everything as it is.
   */
  async update (change: (catalogue: Catalogue) => Catalogue | Failed): Promise<CatalogueWrite> {
    for (let attempt = 1; ; attempt++) {
      const read = await this.read()
      if (!read.ok) return read
      if (read.stored === undefined) return failed(ExitCode.Usage, 'no catalogue is in force yet; apply a folder first')
      const next = change(read.stored.catalogue)
      if ('problems' in next) return next
      if (isDeepStrictEqual(next, read.stored.catalogue)) return { ok: true, revision: read.stored.revision }
      const write = await this.write(next, read.stored)
      const again = !write.ok && write.exit === ExitCode.Conflict && attempt < REBASES
      if (!again) return write
    }
  }

  /** After a lost answer and a conflict: was the head moved by this write or by another's? */
  async #settle (next: Catalogue, planned: StoredCatalogue | undefined): Promise<CatalogueWrite> {
    const read = await this.read()
    if (!read.ok || read.stored === undefined) return unknownOutcome()
    const { revision, catalogue } = read.stored
    if (revision === (planned?.revision ?? 0) + 1) {
      return catalogueDifference(catalogue, next).length === 0 ? { ok: true, revision } : conflict({ status: ApplyStatus.Conflict, revision })
    }
    return failed(ExitCode.Unknown, `the store gave no answer, and another change followed (revision ${revision}); plan again to see what is in force`)
  }
}

/**
 * Runs work on the store that the flags name and closes it in every case.
 *
 * @example
 * await withStore(context, async (store) => await store.read())
 */
export async function withStore<Result> (context: CommandContext, work: (store: OperatorStore) => Promise<Report<Result>>): Promise<Report<Result>> {
  const url = context.flags.storeUrl
  if (url === undefined) return failed(ExitCode.Usage, '--store-url (CYCLAMENTHREAD_STORE_URL) is missing; expected the base URL of the object service')
  if (!URL.canParse(url)) return failed(ExitCode.Usage, `--store-url: expected a URL, as http://127.0.0.1:9000; got ${JSON.stringify(url)}`)
  const objects = new HttpObjectStore(url)
  try {
    return await work(new OperatorStore(objects))
  } finally {
    await objects.close()
  }
}

/** The token that proves an operator, from the environment only: a command line can be read by other users of the machine. */
export function operatorToken (context: CommandContext): string | Failed {
  const token = context.environment[OPERATOR_TOKEN_VARIABLE]
  return token === undefined || token === '' ? failed(ExitCode.Usage, `${OPERATOR_TOKEN_VARIABLE} is missing; expected the operator token of the hosts' settings`) : token
}

function conflict (outcome: ApplyOutcome): Failed {
  return failed(ExitCode.Conflict, `the catalogue changed meanwhile and is now at revision ${outcome.revision ?? 'unknown'}; nothing was changed; plan again`)
}

function unknownOutcome (): Failed {
  return failed(ExitCode.Unknown, 'the store gave no answer; whether the change took effect is not known; running the command again is safe')
}
