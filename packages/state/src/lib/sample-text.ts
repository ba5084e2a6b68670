import type { EndpointEntry } from './endpoint-table.js'

/** A text that an earlier owner received. */
export interface KnownText {
  readonly pieces: readonly string[]
  readonly versions: readonly number[]
  readonly softwareVersion?: string | undefined
}

/**
 * The text received for a sample so far.
 *
 * Invariant: all of its events come from endpoints of one software version.
 *
 * @example
 * const text = new SampleText()
 * text.startStream(endpoint.entry)
 * text.append('event 1', 3)
 */
export class SampleText {
  readonly pieces: string[] = []
  /** Weight versions that generated the text, in order of appearance, without duplicates. */
  readonly versions: number[] = []
  #softwareVersion: string | undefined
  #generation = Symbol('generation')
  #waitDeadline: number | undefined

  /** @param known the text to continue; without it, the sample starts from the beginning */
  constructor (known?: KnownText) {
    if (known === undefined) return
    this.pieces.push(...known.pieces)
    this.versions.push(...known.versions)
    this.#softwareVersion = known.softwareVersion
  }

  /** Identifies what was received since the last discard; parts of different generations must never be combined. */
  get generation (): symbol {
    return this.#generation
  }

  /** Software version of the endpoint that began the text; undefined if it is empty, or unknown. */
  get softwareVersion (): string | undefined {
    return this.#softwareVersion
  }

  /** Monotonic milliseconds until which the text waits for an endpoint that may continue it; undefined while it doesn't wait. */
  get waitDeadline (): number | undefined {
    return this.#waitDeadline
  }

  /** Discards the text, so that the sample starts from the beginning. */
  clear (): void {
    this.#generation = Symbol('generation')
    this.pieces.length = 0
    this.versions.length = 0
    this.#softwareVersion = undefined
    this.#waitDeadline = undefined
  }

  /** Records that the text has to wait for an endpoint; the deadline stays until the text goes on. */
  wait (deadline: number): void {
    this.#waitDeadline ??= deadline
  }

  /** Records that the sample is about to be sent to an endpoint. */
  startStream (endpoint: EndpointEntry): void {
    if (this.pieces.length === 0) this.#softwareVersion = endpoint.softwareVersion
  }

  /** Appends the text of one event. */
  append (data: string, version: number): void {
    this.#waitDeadline = undefined
    this.pieces.push(data)
    if (!this.versions.includes(version)) this.versions.push(version)
  }
}
