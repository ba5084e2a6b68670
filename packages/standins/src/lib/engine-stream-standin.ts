import { createHash } from 'node:crypto'
import type { ServerResponse } from 'node:http'

/** Body of a completion request. */
export interface EngineCompletion {
  readonly prompt: string
  readonly max_tokens: number
  readonly request_id: string
  /** Text that another engine has already generated; the completion continues after it. */
  readonly resume?: { readonly text: string, readonly tokens: number, readonly kv?: string }
}

/** Number of characters counted as one token. */
export const CHARACTERS_PER_TOKEN = 4

/** Number of tokens per stream event. */
export const TOKENS_PER_EVENT = 8

/** Generates text that depends only on the prompt and the position, so that a test can tell which prompt it belongs to. */
export function answerText (prompt: string, from: number, tokens: number): string {
  const word = createHash('sha256').update(prompt).digest('hex').slice(0, 3)
  return Array.from({ length: tokens }, (_, index) => `${word}${(from + index) % 10}`).join('')
}

/** A stream in progress. */
export interface EngineStream {
  readonly body: EngineCompletion
  readonly response: ServerResponse
  /** Number of tokens of the completion so far, including those that another engine generated. */
  generatedTokens: number
}

/** Writes one event of a stream. */
export function writeEvent (response: ServerResponse, chunk: object): void {
  response.write(`data: ${JSON.stringify(chunk)}\n\n`)
}

/** Waits for a number of milliseconds; returns at once if it isn't positive. */
export async function sleep (milliseconds: number): Promise<void> {
  if (milliseconds > 0) await new Promise((resolve) => setTimeout(resolve, milliseconds))
}
