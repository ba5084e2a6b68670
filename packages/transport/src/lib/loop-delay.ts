import { monotonicNow } from './deadline.js'

/** Interval at which the event loop is checked, in milliseconds: short beside the deadlines of requests, and few wake-ups. */
const CHECK_INTERVAL_MS = 100

/** Lateness of a check below which no event has waited long, in milliseconds. */
const MIN_LATE_MS = 10

/** Time after a late check for which events that waited for it are looked for, in milliseconds: as long as clients let a request go unread. */
const MAX_READING_MS = 1_000

/** Number of polls in a row without a new connection after which no event is left that has waited: a poll may accept one connection only, and the next one reads from it. */
const LAST_POLLS = 2

/**
 * Measures for how long events may have waited for the event loop before they are
 * handled. A process that got no processor or was busy handles them late, and sees
 * no other sign of it.
 *
 * @example
 * const delay = new LoopDelay()
 * delay.start()
 * server.on('connection', () => delay.recordConnection())
 * server.on('request', () => { const arrivedAt = monotonicNow() - delay.current() })
 */
export class LoopDelay {
  #timer: NodeJS.Timeout | undefined
  /** Monotonic milliseconds at which the next check is due. */
  #dueAt = Infinity
  /** Monotonic milliseconds since when events may have waited that are still to be read. */
  #waitingSince = Infinity
  /** Monotonic milliseconds until which these events are looked for: a loop that is always late would never have read the last one. */
  #waitsUntil = Infinity
  /** Polls since the last new connection. */
  #polls = 0

  start (): void {
    this.#dueAt = monotonicNow() + CHECK_INTERVAL_MS
    this.#timer = setTimeout(() => this.#check(), CHECK_INTERVAL_MS).unref()
  }

  stop (): void {
    clearTimeout(this.#timer)
    this.#dueAt = Infinity
  }

  /** Records that a connection was accepted: more may wait behind it. */
  recordConnection (): void {
    this.#polls = 0
  }

  /** Time for which an event that is handled now may have waited, in milliseconds. */
  current (): number {
    return Math.max(0, monotonicNow() - Math.min(this.#dueAt, this.#waitingSince))
  }

  #check (): void {
    const now = monotonicNow()
    if (now - this.#dueAt > MIN_LATE_MS) {
      this.#polls = 0
      if (this.#waitingSince === Infinity) {
        this.#waitsUntil = now + MAX_READING_MS
        setImmediate(() => this.#recordPoll())
      }
      this.#waitingSince = Math.min(this.#waitingSince, this.#dueAt)
    }
    this.start()
  }

  #recordPoll (): void {
    this.#polls += 1
    if (this.#polls <= LAST_POLLS && monotonicNow() < this.#waitsUntil) setImmediate(() => this.#recordPoll())
    else this.#waitingSince = Infinity
  }
}
