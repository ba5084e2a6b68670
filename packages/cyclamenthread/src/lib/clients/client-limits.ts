import { readFileSync } from 'node:fs'
import { getHeapStatistics } from 'node:v8'

/** Requests of one connection that may be open at once. Pipelining clients wait for responses beyond it; others never have two. */
export const MAX_OPEN_REQUESTS = 4

/** Time in which a request has to arrive whole, from its head on, in milliseconds: the largest body at 4.5 Mbit/s. */
export const REQUEST_TIMEOUT_MS = 60_000

/** Time in which a client has to take a response from the connection, in milliseconds: as for requests. */
export const RESPONSE_TIMEOUT_MS = 60_000

/** Time without a byte after which an unfinished body yields its memory to another request, in milliseconds. Without need for memory it is kept. */
export const STALLED_BODY_MS = 2_000

/** Limits while no declaration is known; times in milliseconds. */
export const UNDECLARED_LIMITS = { maxHeaderBytes: 16_384, maxBodyBytes: 1_048_576, headerTimeoutMs: 10_000, idleTimeoutMs: 15_000 }

/** Interval at which the deadlines of connections are checked, in milliseconds. */
export const CHECK_INTERVAL_MS = 500

/** Fraction of the heap limit that requests of clients may occupy; a single body may always exceed it. */
const REQUEST_HEAP_FRACTION = 0.1

/** Heap limit per connection, in bytes: room for a connection with a partial head beside all other work. */
const HEAP_BYTES_PER_CONNECTION = 64 * 1_024

/** Fraction of the descriptors that connections of clients may use; the rest is for endpoints, other hosts, the store and files. */
const DESCRIPTOR_FRACTION = 0.5

/** Number of descriptors assumed where the system doesn't tell: the usual soft limit. */
const ASSUMED_DESCRIPTORS = 1_024

/** Maximum number of open descriptors of this process. */
function descriptorLimit (): number {
  try {
    const limit = /^Max open files\s+(\d+)/m.exec(readFileSync('/proc/self/limits', 'utf8'))
    return limit === null ? ASSUMED_DESCRIPTORS : Number(limit[1])
  } catch {
    // Only Linux has this file.
    return ASSUMED_DESCRIPTORS
  }
}

/**
 * Returns how many bytes the requests of all clients may occupy in this process.
 *
 * @example
 * const budget = new RequestBudget(requestBytesLimit())
 */
export function requestBytesLimit (): number {
  return Math.floor(getHeapStatistics().heap_size_limit * REQUEST_HEAP_FRACTION)
}

/**
 * Returns how many connections of clients this process may have, from its heap and descriptor limits.
 *
 * @example
 * const limit = Math.floor(connectionLimit() * share)
 */
export function connectionLimit (): number {
  const byHeap = getHeapStatistics().heap_size_limit / HEAP_BYTES_PER_CONNECTION
  return Math.floor(Math.min(byHeap, descriptorLimit() * DESCRIPTOR_FRACTION))
}
