import { unreachable } from '@cyclamenthread/state'
import type { VersionSpan } from '@cyclamenthread/state'

/** The output that an earlier endpoint has generated for a completion. */
export interface CompletionResumption {
  readonly text: string
  readonly tokens: number
  /** Identifies the KV cache to import; without it the engine recomputes the cache. */
  readonly kv?: string
}

/** An unfinished completion to resume: the output so far and the weight versions that generated it. */
export interface PartialCompletion {
  readonly resumption: CompletionResumption
  readonly versions: readonly VersionSpan[]
}

/** Kinds of parts in an engine's output stream. */
export enum CompletionPartKind {
  Text = 'text',
  End = 'end',
  Failure = 'failure'
}

/** One part of an engine's output stream. A stream ends with exactly one `End` or `Failure`. */
export type CompletionPart =
  | { readonly kind: CompletionPartKind.Text, readonly text: string, readonly tokens: number, readonly version: number | undefined }
  | { readonly kind: CompletionPartKind.End, readonly finishReason: string, readonly promptTokens: number, readonly answerTokens: number }
  | { readonly kind: CompletionPartKind.Failure, readonly sent: boolean, readonly detail: string }

/** A finished completion. */
export interface Completion {
  readonly text: string
  /** Undefined when the engine omitted the weight version of any part. */
  readonly versions: readonly VersionSpan[] | undefined
  readonly finishReason: string
  readonly promptTokens: number
  readonly answerTokens: number
}

/**
 * Assembles a completion from the parts of a stream.
 *
 * Invariant: the token counts of the version spans add up to those of the parts added.
 */
export class CompletionBuilder {
  #text = ''
  #spans: VersionSpan[] = []
  #hasUnknownVersion = false
  #completion: Completion | undefined
  #failure: { readonly sent: boolean, readonly detail: string } | undefined

  /** @param partial the unfinished completion to continue, if any */
  constructor (partial?: PartialCompletion) {
    if (partial === undefined) return
    this.#text = partial.resumption.text
    this.#spans = [...partial.versions]
  }

  /** Adds the next part. */
  add (part: CompletionPart): void {
    switch (part.kind) {
      case CompletionPartKind.Text:
        this.#text += part.text
        this.#addSpan(part.version, part.tokens)
        return
      case CompletionPartKind.End:
        this.#completion = {
          text: this.#text,
          versions: this.#hasUnknownVersion ? undefined : this.#spans,
          finishReason: part.finishReason,
          promptTokens: part.promptTokens,
          answerTokens: part.answerTokens
        }
        return
      case CompletionPartKind.Failure:
        this.#failure = part
        return
      default: unreachable(part)
    }
  }

  /** The completion; undefined until it is finished, and after a failure. */
  get completion (): Completion | undefined {
    return this.#failure === undefined ? this.#completion : undefined
  }

  /** The failure that ended the stream, if any. */
  get failure (): { readonly sent: boolean, readonly detail: string } | undefined {
    return this.#failure
  }

  #addSpan (version: number | undefined, tokens: number): void {
    if (version === undefined) {
      this.#hasUnknownVersion = true
      return
    }
    const last = this.#spans.at(-1)
    if (last !== undefined && last.version === version) this.#spans[this.#spans.length - 1] = { version, tokens: last.tokens + tokens }
    else this.#spans.push({ version, tokens })
  }
}
