import { LogEvent } from '@cyclamenthread/coordination'
import { closedPeerConnections } from '@cyclamenthread/transport'
import { requestBytesLimit } from './client-limits.js'
import { RequestBudget } from './request-budget.js'
import type { EventLog } from '@cyclamenthread/coordination'

/** Maximum number of log lines about refused requests in any span of one second. */
const MAX_LINES = 10
const LINE_WINDOW_MS = 1_000

/** Why a request was refused or a connection closed. */
export enum ClientLimit {
  /** The memory for requests is in use: 503. */
  Memory = 'memory',
  /** A body was not whole in time, or stalled while its memory was needed: 408. */
  SlowBody = 'slow-body',
  StalledBody = 'stalled-body',
  /** A head was not whole in time: 408. */
  SlowHead = 'slow-head',
  /** A connection had no request for too long. */
  Idle = 'idle',
  /** A client did not take a response. */
  Unread = 'unread',
  /** There are as many connections as the address may have. */
  Connections = 'connections',
  /** A connection made way for a new one before it had a request, or after the time in which it may be used again. */
  Displaced = 'displaced'
}

/** A request that was refused because of a limit. */
export interface LimitedRequest {
  readonly target: string
  readonly status: number
  readonly limit: ClientLimit
}

/**
 * The memory that the requests at all addresses of a process share, and what was refused or closed.
 *
 * @example
 * const guard = new ClientGuard(log)
 * new CallerServer({ host, port, handler, limits, guard })
 */
export class ClientGuard {
  readonly budget: RequestBudget
  readonly #log: EventLog | undefined
  readonly #counts = new Map(Object.values(ClientLimit).map((limit) => [limit, 0]))
  /** Monotonic milliseconds of the last lines, oldest first. */
  readonly #lines: number[] = []
  #unlogged = 0

  constructor (log?: EventLog, budget = new RequestBudget(requestBytesLimit())) {
    this.#log = log
    this.budget = budget
  }

  /** Counts a limit that was reached. */
  count (limit: ClientLimit): void {
    this.#counts.set(limit, (this.#counts.get(limit) ?? 0) + 1)
  }

  /** Counts and logs a refused request; beyond a few lines a second, the next line has the number of those without one. */
  recordRefusal ({ target, status, limit }: LimitedRequest): void {
    this.count(limit)
    const now = performance.now()
    const [oldest] = this.#lines
    if (this.#lines.length === MAX_LINES && oldest !== undefined && now - oldest < LINE_WINDOW_MS) {
      this.#unlogged += 1
      return
    }
    if (this.#lines.length === MAX_LINES) this.#lines.shift()
    this.#lines.push(now)
    this.#log?.record(LogEvent.RequestAnswered, { target, status, detail: `client limit: ${limit}`, requestBytes: this.budget.used, unlogged: this.#unlogged })
    this.#unlogged = 0
  }

  /** Refusals and closed connections since the start of the process, by limit. */
  figures (): ReadonlyArray<readonly [kind: string, value: number]> {
    return [...this.#counts, ['peer-connections', closedPeerConnections()]]
  }
}
