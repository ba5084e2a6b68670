import { unreachable } from '@cyclamenthread/state'
import type { VersionSpan } from '@cyclamenthread/state'

/** What an earlier endpoint has produced of an answer. */
export interface CompletionResumption {
  readonly text: string
  readonly tokens: number
  /** Names the KV cache to import; without it the engine computes it anew. */
  readonly kv?: string
}

/** An answer that is gone on with: what was produced, and by which versions. */
export interface PartialCompletion {
  readonly resumption: CompletionResumption
  readonly versions: readonly VersionSpan[]
}

/** Kinds of what an engine's stream yields. */
export enum CompletionPartKind {
  Text = 'text',
  End = 'end',
  Failure = 'failure'
}

/** What an engine's stream yields; it ends with one `End` or one `Failure`. */
export type CompletionPart =
  | { readonly kind: CompletionPartKind.Text, readonly text: string, readonly tokens: number, readonly version: number | undefined }
  | { readonly kind: CompletionPartKind.End, readonly finishReason: string, readonly promptTokens: number, readonly answerTokens: number }
  | { readonly kind: CompletionPartKind.Failure, readonly sent: boolean, readonly detail: string }

/** A whole completion. */
export interface Completion {
  readonly text: string
  /** Undefined when the engine did not name the version of some part. */
  readonly versions: readonly VersionSpan[] | undefined
  readonly finishReason: string
  readonly promptTokens: number
  readonly answerTokens: number
}

/**
 * Collects the parts of a completion.
 *
 * Invariant: the tokens of the spans add up to the tokens of the parts seen.
 */
export class CompletionBuilder {
  #text = ''
  #spans: VersionSpan[] = []
  #hasUnknownVersion = false
  #completion: Completion | undefined
  #failure: { readonly sent: boolean, readonly detail: string } | undefined

  /** @param partial what an earlier endpoint produced of the answer */
  constructor (partial?: PartialCompletion) {
    if (partial === undefined) return
    this.#text = partial.resumption.text
    this.#spans = [...partial.versions]
  }

  /** Takes the next part. */
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

  /** The completion once it is whole. */
  get completion (): Completion | undefined {
    return this.#failure === undefined ? this.#completion : undefined
  }

  /** Why there is no completion. */
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
