/** An invariant of the program does not hold. The process must stop: its state can no longer be trusted. */
export class InvariantError extends Error {
  override readonly name = 'InvariantError'
}

/**
 * Throws when an invariant is broken.
 *
 * @throws {InvariantError} when `condition` is false.
 * @example
 * invariant(slots >= 0, 'slots never go below zero')
 */
export function invariant (condition: boolean, message: string): asserts condition {
  if (!condition) throw new InvariantError(message)
}

/**
 * The default branch of an exhaustive switch: the type checker rejects the call
 * while a member of the union is not handled.
 *
 * @throws {InvariantError} always.
 * @example
 * switch (kind) { case Kind.A: return 1; default: return unreachable(kind) }
 */
export function unreachable (value: never): never {
  throw new InvariantError(`unhandled member: ${JSON.stringify(value)}`)
}
