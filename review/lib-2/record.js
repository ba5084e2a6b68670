import { appendFileSync, writeFileSync } from 'node:fs'

/** Writes what a case sent, got and ran to `record.txt`, with the time since the start of the case. */
export class Record {
  #path
  #startedAt = performance.now()

  /** @param path file that is overwritten */
  constructor (path) {
    this.#path = path
    writeFileSync(path, '')
  }

  /** Milliseconds since the start of the case. */
  get elapsedMs () {
    return Math.round(performance.now() - this.#startedAt)
  }

  add (text) {
    appendFileSync(this.#path, `${String(this.elapsedMs).padStart(6)} ms  ${text}\n`)
  }
}
