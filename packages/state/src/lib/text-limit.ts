import type { RolloutSample } from './rollout.js'

/** Maximum length of the text of one token, in characters: longer than any entry of a vocabulary. */
const MAX_TOKEN_CHARACTERS = 1_024

/** Maximum length of a text, in characters: what fits into one page of results. */
const MAX_TEXT_CHARACTERS = 1_024 * 1_024

/** Bounds of the text of a sample, beyond which what an endpoint sends is no answer to it. */
export interface TextLimit {
  readonly maxEvents: number
  readonly maxCharacters: number
}

/**
 * Computes the bounds of a sample's text. Each event holds one token or more.
 *
 * @example
 * textLimitOf({ maxAnswerTokens: 400, tokens: 1_416 }) // { maxEvents: 400, maxCharacters: 409_600 }
 */
export function textLimitOf ({ maxAnswerTokens, tokens }: Pick<RolloutSample, 'maxAnswerTokens' | 'tokens'>): TextLimit {
  const most = maxAnswerTokens ?? tokens
  if (most <= 0) return { maxEvents: Infinity, maxCharacters: MAX_TEXT_CHARACTERS }
  return { maxEvents: most, maxCharacters: Math.min(most * MAX_TOKEN_CHARACTERS, MAX_TEXT_CHARACTERS) }
}
