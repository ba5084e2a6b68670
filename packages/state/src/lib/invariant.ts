/** Thrown when an invariant of the program is violated. The process must stop, since its state can no longer be trusted. */
export class InvariantError extends Error {
  override readonly name = 'InvariantError'
}

/**
 * Throws if an invariant is violated.
 *
 * @throws {InvariantError} if `condition` is false.
 * @example
 * invariant(slots >= 0, 'slots are never negative')
 */
export function invariant (condition: boolean, message: string): asserts condition {
  if (!condition) throw new InvariantError(message)
}

/**
 * For the default branch of an exhaustive switch: the call is a type error if a
 * member of the union is not handled.
 *
 * @throws {InvariantError} always.
 * @example
 * switch (kind) { case Kind.A: return 1; default: return unreachable(kind) }
 */
export function unreachable (value: never): never {
  throw new InvariantError(`unhandled member: ${JSON.stringify(value)}`)
}
