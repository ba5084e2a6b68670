import { createHash } from 'node:crypto'
import type { ServerResponse } from 'node:http'

/** What a caller asks an engine for. */
export interface EngineCompletion {
  readonly prompt: string
  readonly max_tokens: number
  readonly request_id: string
  /** Text that another engine has produced already; the answer goes on after it. */
  readonly resume?: { readonly text: string, readonly tokens: number, readonly kv?: string }
}

/** Characters a stand-in counts as one token. */
export const CHARACTERS_PER_TOKEN = 4

/** Tokens that are put into one event of the stream. */
export const TOKENS_PER_EVENT = 8

/** A text that depends on the prompt only, so that a test can tell whose answer it is. */
export function answerText (prompt: string, from: number, tokens: number): string {
  const word = createHash('sha256').update(prompt).digest('hex').slice(0, 3)
  return Array.from({ length: tokens }, (_, index) => `${word}${(from + index) % 10}`).join('')
}

/** A stream in progress. */
export interface EngineStream {
  readonly body: EngineCompletion
  readonly response: ServerResponse
  /** Tokens of the answer that are there, given ones among them. */
  generatedTokens: number
}

/** Writes one event of a stream. */
export function writeEvent (response: ServerResponse, chunk: object): void {
  response.write(`data: ${JSON.stringify(chunk)}\n\n`)
}

/** Waits; not at all for no time. */
export async function sleep (milliseconds: number): Promise<void> {
  if (milliseconds > 0) await new Promise((resolve) => setTimeout(resolve, milliseconds))
}
