import { appendFileSync, writeFileSync } from 'node:fs'

/** The record of a case: one JSON line for each thing that was sent, answered, run or done. */
export class Record {
  #path
  #startedAt = performance.now()

  constructor (path) {
    this.#path = path
    writeFileSync(path, '')
  }

  /** Milliseconds since the case began. */
  get now () {
    return Math.round(performance.now() - this.#startedAt)
  }

  write (what, fields = {}) {
    appendFileSync(this.#path, `${JSON.stringify({ atMs: this.now, what, ...fields })}\n`)
  }
}
