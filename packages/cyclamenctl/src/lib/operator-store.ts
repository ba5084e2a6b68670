import { isDeepStrictEqual } from 'node:util'
import { unreachable } from '@cyclamenthread/state'
import { ApplyStatus, CatalogueStore, HttpObjectStore } from '@cyclamenthread/protocol'
import { deadlineAfter } from '@cyclamenthread/transport'
import { failedReport } from './command.js'
import { ExitCode } from './exit-code.js'
import { diffCatalogues } from './catalogue-difference.js'
import { OPERATOR_TOKEN_VARIABLE } from './flag-table.js'
import type { Catalogue } from '@cyclamenthread/state'
import type { ApplyOutcome, ObjectStore, StoredCatalogue } from '@cyclamenthread/protocol'
import type { CommandContext, FailedReport, CommandReport } from './command.js'

/** Longest one attempt works on the store, in milliseconds. */
const ATTEMPT_TIMEOUT_MS = 10_000

/** Attempts of a write whose outcome is unknown; the same conditional write has no second effect. */
const MAX_WRITE_ATTEMPTS = 3

/** Changes of others that a commuting change is redone after. */
const MAX_UPDATE_ATTEMPTS = 10

/** What became of a write of the catalogue. */
export type CatalogueWrite =
  | { readonly ok: true, readonly revision: number }
  | FailedReport

/** The catalogue in the store as operators change it. */
export class OperatorStore {
  readonly objects: ObjectStore
  readonly #catalogues: CatalogueStore

  constructor (objects: ObjectStore) {
    this.objects = objects
    this.#catalogues = new CatalogueStore(objects)
  }

  /** The catalogue in force, undefined before the first. */
  async read (): Promise<{ readonly ok: true, readonly stored: StoredCatalogue | undefined } | FailedReport> {
    const read = await this.#catalogues.read(deadlineAfter(ATTEMPT_TIMEOUT_MS))
    return read.ok ? { ok: true, stored: read.value } : failedReport(ExitCode.Unavailable, `the store can't be read (${read.failure}); nothing was changed`)
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
    let isOutcomeUnknown = false
    for (let attempt = 1; ; attempt++) {
      const outcome = await this.#catalogues.apply(next, planned, deadlineAfter(ATTEMPT_TIMEOUT_MS))
      switch (outcome.status) {
        case ApplyStatus.Applied: return { ok: true, revision: outcome.revision ?? 0 }
        case ApplyStatus.Conflict: return isOutcomeUnknown ? await this.#resolveUnknownOutcome(next, planned) : conflictReport(outcome)
        case ApplyStatus.NotWritten:
          if (!isOutcomeUnknown) return failedReport(ExitCode.Unavailable, 'nothing was changed: the store can\'t be written')
          break
        case ApplyStatus.Unknown:
          isOutcomeUnknown = true
          break
        default: return unreachable(outcome.status)
      }
      if (attempt >= MAX_WRITE_ATTEMPTS) return unknownOutcomeReport()
    }
  }

  /**
   * Makes a change that commutes with those of others: read, change, write, and
   * again after a conflict. `change` returns a failure to leave everything as it is.
   */
  async update (change: (catalogue: Catalogue) => Catalogue | FailedReport): Promise<CatalogueWrite> {
    for (let attempt = 1; ; attempt++) {
      const read = await this.read()
      if (!read.ok) return read
      if (read.stored === undefined) return failedReport(ExitCode.Usage, 'no catalogue is in force yet; apply a folder first')
      const next = change(read.stored.catalogue)
      if ('problems' in next) return next
      if (isDeepStrictEqual(next, read.stored.catalogue)) return { ok: true, revision: read.stored.revision }
      const write = await this.write(next, read.stored)
      const again = !write.ok && write.exit === ExitCode.Conflict && attempt < MAX_UPDATE_ATTEMPTS
      if (!again) return write
    }
  }

  /** After a lost answer and a conflict: was the head moved by this write or by another's? */
  async #resolveUnknownOutcome (next: Catalogue, planned: StoredCatalogue | undefined): Promise<CatalogueWrite> {
    const read = await this.read()
    if (!read.ok || read.stored === undefined) return unknownOutcomeReport()
    const { revision, catalogue } = read.stored
    if (revision === (planned?.revision ?? 0) + 1) {
      return diffCatalogues(catalogue, next).length === 0 ? { ok: true, revision } : conflictReport({ status: ApplyStatus.Conflict, revision })
    }
    return failedReport(ExitCode.Unknown, `the store gave no answer, and another change followed (revision ${revision}); plan again to see what is in force`)
  }
}

/**
 * Runs work on the store that the flags name and closes it in every case.
 *
 * @example
 * await withStore(context, async (store) => await store.read())
 */
export async function withStore<Result> (context: CommandContext, work: (store: OperatorStore) => Promise<CommandReport<Result>>): Promise<CommandReport<Result>> {
  const url = context.flags.storeUrl
  if (url === undefined) return failedReport(ExitCode.Usage, '--store-url (CYCLAMENTHREAD_STORE_URL) is missing; expected the base URL of the object service')
  if (!URL.canParse(url)) return failedReport(ExitCode.Usage, `--store-url: expected a URL, as http://127.0.0.1:9000; got ${JSON.stringify(url)}`)
  const objects = new HttpObjectStore(url)
  try {
    return await work(new OperatorStore(objects))
  } finally {
    await objects.close()
  }
}

/** The token that proves an operator, from the environment only: a command line can be read by other users of the machine. */
export function readOperatorToken (context: CommandContext): string | FailedReport {
  const token = context.environment[OPERATOR_TOKEN_VARIABLE]
  return token === undefined || token === '' ? failedReport(ExitCode.Usage, `${OPERATOR_TOKEN_VARIABLE} is missing; expected the operator token of the hosts' settings`) : token
}

function conflictReport (outcome: ApplyOutcome): FailedReport {
  return failedReport(ExitCode.Conflict, `the catalogue changed meanwhile and is now at revision ${outcome.revision ?? 'unknown'}; nothing was changed; plan again`)
}

function unknownOutcomeReport (): FailedReport {
  return failedReport(ExitCode.Unknown, 'the store gave no answer; whether the change took effect is not known; running the command again is safe')
}
