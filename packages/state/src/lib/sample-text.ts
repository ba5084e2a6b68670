import { isSameIncarnation } from './endpoint-table.js'
import type { EndpointIncarnation } from './endpoint-table.js'

/** A part of a text whose software version isn't confirmed yet, as an earlier owner knew it. */
export interface UnconfirmedPart {
  /** The endpoint as the registry showed it when the sample was sent. */
  readonly endpoint: EndpointIncarnation
  /** Number of events before the part. */
  readonly from: number
  /** Number of weight versions before the part. */
  readonly versionsFrom: number
  /** Time since the endpoint's answer began, in milliseconds. */
  readonly ageMs: number
}

/** A text that an earlier owner received. */
export interface KnownText {
  readonly pieces: readonly string[]
  readonly versions: readonly number[]
  readonly softwareVersion?: string | undefined
  readonly unconfirmed?: readonly UnconfirmedPart[] | undefined
}

/** What a check of a text against the registry has changed. */
export enum TextCheck {
  Kept = 'kept',
  /** The end of the text may come from another software version and was dropped. */
  Shortened = 'shortened',
  /** The beginning may come from another software version than the rest; all of it was dropped. */
  Dropped = 'dropped'
}

/** A stream whose endpoint isn't known to have been the one that the registry showed. */
interface UnconfirmedStream {
  readonly endpoint: EndpointIncarnation
  readonly from: number
  readonly versionsFrom: number
  /** Monotonic milliseconds at which the endpoint's answer began; infinite before. */
  answeredAt: number
}

/**
 * The text received for a sample so far.
 *
 * The registry may show the software version of an endpoint that has restarted under
 * its id since. A stream comes from a single process, so its version is confirmed
 * once the registry would show a process that started before the stream's answer,
 * and still shows the one that it showed when the sample was sent.
 *
 * Invariant: all of its confirmed events come from endpoints of one software version.
 *
 * @example
 * const text = new SampleText()
 * text.startStream(endpoint.entry)
 * text.recordAnswer(now)
 * text.append('event 1', 3)
 */
export class SampleText {
  readonly pieces: string[] = []
  /** Weight versions that generated the text, in order of appearance, without duplicates. */
  readonly versions: number[] = []
  #softwareVersion: string | undefined
  #generation = Symbol('generation')
  #waitDeadline: number | undefined
  /** In the order of their parts; all events before the first one's part are confirmed. */
  readonly #doubtfulStreams: UnconfirmedStream[] = []

  /**
   * @param known the text to continue; without it, the sample starts from the beginning
   * @param now monotonic milliseconds
   */
  constructor (known?: KnownText, now = 0) {
    if (known === undefined) return
    this.pieces.push(...known.pieces)
    this.versions.push(...known.versions)
    this.#softwareVersion = known.softwareVersion
    for (const { ageMs, ...part } of known.unconfirmed ?? []) this.#doubtfulStreams.push({ ...part, answeredAt: now - ageMs })
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

  /** Whether the software version of every event is confirmed. */
  get isConfirmed (): boolean {
    return this.#doubtfulStreams.length === 0
  }

  /** Whether no event may come from another software version than the others: the text is confirmed or comes from one stream. */
  get isUniform (): boolean {
    return this.#doubtfulStreams.every(({ from }) => from === 0)
  }

  /** The events before the first that isn't confirmed; none if the software version is unknown. */
  get confirmedPart (): KnownText {
    if (this.#softwareVersion === undefined) return { pieces: [], versions: [] }
    const first = this.#doubtfulStreams[0]
    return { pieces: this.pieces.slice(0, first?.from), versions: this.versions.slice(0, first?.versionsFrom), softwareVersion: this.#softwareVersion }
  }

  /** Describes the parts that aren't confirmed for the next owner. */
  unconfirmedParts (now: number): UnconfirmedPart[] {
    return this.#doubtfulStreams
      .filter(({ from }) => from < this.pieces.length)
      .map(({ endpoint: { id, address, bornAt, softwareVersion }, answeredAt, ...part }) => ({ ...part, endpoint: { id, address, bornAt, softwareVersion }, ageMs: now - answeredAt }))
  }

  /** Discards the text, so that the sample starts from the beginning. */
  clear (): void {
    this.#generation = Symbol('generation')
    this.pieces.length = 0
    this.versions.length = 0
    this.#softwareVersion = undefined
    this.#waitDeadline = undefined
    this.#doubtfulStreams.length = 0
  }

  /** Records that the text has to wait for an endpoint; the deadline stays until the text goes on. */
  wait (deadline: number): void {
    this.#waitDeadline ??= deadline
  }

  /**
   * Records that the sample is about to be sent to an endpoint.
   *
   * @param endpoint the endpoint as the registry shows it
   */
  startStream (endpoint: EndpointIncarnation): void {
    const { length } = this.pieces
    if (this.#doubtfulStreams.at(-1)?.from === length) this.#doubtfulStreams.pop()
    if (length === 0) this.#softwareVersion = endpoint.softwareVersion
    this.#doubtfulStreams.push({ endpoint, from: length, versionsFrom: this.versions.length, answeredAt: Infinity })
  }

  /** Records that the answer to the last stream has begun. */
  recordAnswer (now: number): void {
    const stream = this.#doubtfulStreams.at(-1)
    if (stream !== undefined) stream.answeredAt = now
  }

  /** Appends the text of one event. */
  append (data: string, version: number): void {
    this.#waitDeadline = undefined
    this.pieces.push(data)
    if (!this.versions.includes(version)) this.versions.push(version)
  }

  /**
   * Confirms the streams whose endpoints the registry still shows, and drops what may
   * come from an endpoint that has restarted with another software version. An endpoint
   * that left before its stream was confirmed may have restarted before it left.
   *
   * @param find returns the endpoint that the registry shows under an id
   * @param registeredUntil monotonic milliseconds before which each start of an endpoint shows in the registry
   */
  check (find: (id: string) => EndpointIncarnation | undefined, registeredUntil: number): TextCheck {
    const index = this.#doubtfulStreams.findIndex(({ endpoint }) => {
      const current = find(endpoint.id)
      return current === undefined || !isSameIncarnation(current, endpoint)
    })
    const doubtful = this.#doubtfulStreams[index]
    if (doubtful !== undefined) return this.#dropFrom(index, doubtful)
    while (this.#doubtfulStreams[0] !== undefined && this.#doubtfulStreams[0].answeredAt <= registeredUntil) this.#doubtfulStreams.shift()
    return TextCheck.Kept
  }

  #dropFrom (index: number, { from, versionsFrom }: UnconfirmedStream): TextCheck {
    if (from > 0) {
      this.pieces.length = from
      this.versions.length = versionsFrom
      this.#doubtfulStreams.length = index
      return TextCheck.Shortened
    }
    if (this.#doubtfulStreams.length > 1) {
      this.clear()
      return TextCheck.Dropped
    }
    // The only stream may be whole or go on, but no other may continue it.
    this.#softwareVersion = undefined
    this.#doubtfulStreams.length = 0
    return TextCheck.Kept
  }
}
