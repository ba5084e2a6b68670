import { CompletionPartKind } from '@cyclamenthread/protocol'
import { monotonicNow } from '@cyclamenthread/transport'
import type { Endpoint, VersionSpan } from '@cyclamenthread/state'
import type { CompletionPart, CompletionResumption, PartialCompletion } from '@cyclamenthread/protocol'
import type { CompletionObserver } from './completion-runner.js'

/**
 * One run of a sample, as seen while it streams.
 *
 * Invariant: `tokens` is what the present endpoint and the seed have produced.
 */
export class SampleAttempt implements CompletionObserver {
  readonly requestId: string
  /** Monotonic milliseconds at which it asked for a slot. */
  readonly requestedAt = monotonicNow()
  readonly #seed: PartialCompletion | undefined
  readonly #isStaleVersion: (version: number) => boolean
  readonly #abort = new AbortController()
  endpoint: Endpoint | undefined
  /** Monotonic milliseconds at which it got its present slot. */
  startedAt: number | undefined
  tokens = 0
  isStale = false
  abandoned = false
  #text = ''
  #versionSpans: VersionSpan[] = []
  #hasUnnamedVersion = false

  /** @param isTooOld whether a version can't be delivered any more */
  constructor (requestId: string, resumptionSeed: PartialCompletion | undefined, isTooOld: (version: number) => boolean) {
    this.requestId = requestId
    this.#seed = resumptionSeed
    this.#isStaleVersion = isTooOld
  }

  get signal (): AbortSignal {
    return this.#abort.signal
  }

  /** What it goes on with. */
  get initialSeed (): PartialCompletion | undefined {
    return this.#seed
  }

  /** Tokens that came from an earlier endpoint. */
  get resumedTokens (): number {
    return this.#seed?.resumption.tokens ?? 0
  }

  onSlotGranted (endpoint: Endpoint): void {
    this.endpoint = endpoint
    this.startedAt = monotonicNow()
    this.tokens = this.resumedTokens
    this.#text = this.#seed?.resumption.text ?? ''
    this.#versionSpans = [...this.#seed?.versions ?? []]
    this.#hasUnnamedVersion = false
  }

  onPart (part: CompletionPart): void {
    if (part.kind !== CompletionPartKind.Text) return
    this.tokens += part.tokens
    this.#text += part.text
    if (part.version === undefined) {
      this.#hasUnnamedVersion = true
      return
    }
    this.#versionSpans.push({ version: part.version, tokens: part.tokens })
    if (this.isStale || !this.#isStaleVersion(part.version)) return
    this.isStale = true
    this.#abort.abort()
  }

  /**
   * What another endpoint can go on with: the text seen here, and the KV cache
   * when the export is of exactly that text. Undefined when there is nothing, or
   * the version of some part is not known.
   */
  seed (exported?: CompletionResumption): PartialCompletion | undefined {
    if (this.#hasUnnamedVersion || this.tokens === 0) return undefined
    const own: CompletionResumption = { text: this.#text, tokens: this.tokens }
    const matches = exported !== undefined && exported.tokens === this.tokens && exported.text === this.#text
    return { resumption: matches ? exported : own, versions: mergeSpans(this.#versionSpans) }
  }

  /** Ends the run; its result is of no interest any more. */
  abandon (): void {
    this.abandoned = true
    this.#abort.abort()
  }
}

function mergeSpans (spans: readonly VersionSpan[]): VersionSpan[] {
  const result: VersionSpan[] = []
  for (const span of spans) {
    const last = result.at(-1)
    if (last?.version === span.version) result[result.length - 1] = { version: last.version, tokens: last.tokens + span.tokens }
    else result.push(span)
  }
  return result
}
