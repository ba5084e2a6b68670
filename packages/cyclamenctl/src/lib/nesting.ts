import { Parser } from 'yaml'

/** Deepest nesting of collections in a file of declarations; theirs have four levels. */
export const MAX_NESTING = 32

/**
 * Whether YAML text nests deeper than declarations may. The library's parser
 * keeps its own stack, but what builds documents from it recurses and takes the
 * whole process down on text that nests by the thousand: no `catch` helps there,
 * so it is looked at before.
 *
 * @example
 * nestsTooDeep('['.repeat(100)) // true
 */
export function exceedsMaxNesting (text: string): boolean {
  for (const token of new Parser().parse(text)) {
    if (isTokenTooDeep(token)) return true
  }
  return false
}

/** Walks a token and what it holds without recursion. */
function isTokenTooDeep (root: unknown): boolean {
  const pending: Array<{ readonly token: unknown, readonly depth: number }> = [{ token: root, depth: 0 }]
  for (;;) {
    const next = pending.pop()
    if (next === undefined) return false
    if (next.depth > MAX_NESTING) return true
    for (const child of childrenOf(next.token)) pending.push({ token: child, depth: next.depth + 1 })
  }
}

/** The keys and values of a collection, or the value of a document. */
function childrenOf (token: unknown): unknown[] {
  if (typeof token !== 'object' || token === null) return []
  if ('items' in token && Array.isArray(token.items)) return token.items.flatMap((item: { readonly key?: unknown, readonly value?: unknown }) => [item.key, item.value])
  return 'value' in token ? [token.value] : []
}
