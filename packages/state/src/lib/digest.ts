import { createHash } from 'node:crypto'

/**
 * Hashes several parts, each with its length: ('ab', 'c') differs from ('a', 'bc').
 *
 * @returns 64 hexadecimal digits
 * @example
 * digest('POST', '/book', body)
 */
export function digest (...parts: ReadonlyArray<string | Uint8Array>): string {
  const hash = createHash('sha256')
  for (const part of parts) {
    hash.update(`${part.length}:`)
    hash.update(part)
  }
  return hash.digest('hex')
}
