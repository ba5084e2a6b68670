import { createHmac, timingSafeEqual } from 'node:crypto'
import type { Key } from './catalogue.js'

/**
 * Computes the salted hash under which a key is stored. Keys are long and random,
 * so a single HMAC is sufficient: a dictionary attack is not possible.
 *
 * @param salt hexadecimal salt of the key
 * @param token the bearer token as the caller sends it
 * @returns 64 hexadecimal digits
 * @example
 * hashKey('00ff00ff00ff00ff', 'desk-1_secret')
 */
export function hashKey (salt: string, token: string): string {
  return createHmac('sha256', salt).update(token).digest('hex')
}

/**
 * Whether a bearer token belongs to a key. The comparison takes constant time.
 *
 * @example
 * matchesKey(key, 'desk-1_secret') // true
 */
export function matchesKey (key: Key, token: string): boolean {
  const expected = Buffer.from(key.hash, 'hex')
  const actual = Buffer.from(hashKey(key.salt, token), 'hex')
  return expected.length === actual.length && timingSafeEqual(expected, actual)
}
