import { write } from 'node:fs'
import { setTimeout as sleep } from 'node:timers/promises'
import { createConsola } from 'consola/core'
import type { EventLog, LogEvent, LogFields } from '@cyclamenthread/coordination'

/** Maximum size of the buffer for unwritten lines, in bytes; further lines are dropped and counted. */
const MAX_BUFFERED_BYTES = 256 * 1024

/** Time for which lines are collected into one write, in milliseconds. */
const FLUSH_DELAY_MS = 100

/** Pause before bytes that the reader has left no room for are written, in milliseconds. */
const RETRY_DELAY_MS = 20

/** Maximum time that a flush waits for the reader, in milliseconds. */
const MAX_FLUSH_MS = 1_000

/** File descriptor of standard output. */
const STDOUT = 1

/**
 * Structured log: one JSON document per line on standard output. Lines are
 * buffered and written in the background. If the reader doesn't keep up, lines
 * are dropped and their number is logged, so that no request waits for the log.
 *
 * @example
 * const log = new JsonLog('edge-1')
 * log.record(LogEvent.Started, { pid: process.pid })
 */
export class JsonLog implements EventLog {
  readonly #host: string
  readonly #console = createConsola({ level: 3, reporters: [{ log: ({ args }) => this.#append(args[0] as string) }], throttle: 0 })
  #buffer: string[] = []
  #bufferedBytes = 0
  /** The write under way. */
  #writing: Promise<void> | undefined
  #timer: NodeJS.Timeout | undefined
  #dropped = 0

  constructor (host: string) {
    this.#host = host
  }

  /** Number of lines dropped since the process started. */
  get dropped (): number {
    return this.#dropped
  }

  record (event: LogEvent, fields: LogFields): void {
    this.#console.info(JSON.stringify({ at: new Date().toISOString(), host: this.#host, event, ...fields }))
  }

  /** Writes the buffered lines after those of a write under way, as far as their reader takes them in a second; call it before the process exits. */
  async flush (): Promise<void> {
    const timeout = new AbortController()
    await Promise.race([this.#writeRemaining(), sleep(MAX_FLUSH_MS, undefined, { signal: timeout.signal }).catch(() => {})])
    timeout.abort()
  }

  async #writeRemaining (): Promise<void> {
    await this.#writing
    clearTimeout(this.#timer)
    await this.#write()
  }

  #append (line: string): void {
    if (this.#bufferedBytes + line.length > MAX_BUFFERED_BYTES) {
      this.#dropped += 1
      return
    }
    this.#buffer.push(line)
    this.#bufferedBytes += line.length
    this.#scheduleWrite()
  }

  #scheduleWrite (): void {
    this.#timer ??= setTimeout(() => {
      void this.#write()
    }, FLUSH_DELAY_MS)
  }

  async #write (): Promise<void> {
    this.#timer = undefined
    if (this.#writing !== undefined || this.#buffer.length === 0) return
    const dropped = this.#dropped > 0 ? `${JSON.stringify({ host: this.#host, event: 'lines-dropped', total: this.#dropped })}\n` : ''
    const bytes = Buffer.from(`${this.#buffer.join('\n')}\n${dropped}`)
    this.#buffer = []
    this.#bufferedBytes = 0
    // Lines of a failed write are lost: there is no other place to report the failure.
    this.#writing = writeBytes(bytes).finally(() => {
      this.#writing = undefined
    })
    await this.#writing
    if (this.#buffer.length > 0) this.#scheduleWrite()
  }
}

/** Writes all bytes to standard output. Its pipe takes only a part of them, or none, while its reader is behind. */
async function writeBytes (bytes: Buffer): Promise<void> {
  let offset = 0
  while (offset < bytes.length) {
    const written = await new Promise<number | undefined>((resolve) => write(STDOUT, bytes, offset, bytes.length - offset, null, (error, count) => {
      if (error === null) resolve(count)
      else resolve(error.code === 'EAGAIN' ? 0 : undefined)
    }))
    if (written === undefined) return
    offset += written
    if (offset < bytes.length) await sleep(RETRY_DELAY_MS)
  }
}
