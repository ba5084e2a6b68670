import { Parser } from 'yaml'

/** Maximum nesting of collections in a declaration file; valid declarations have four levels. */
export const MAX_NESTING = 32

/**
 * Whether YAML text nests deeper than declarations may. The library's parser is
 * iterative, but its document composer is recursive and crashes the whole process
 * on text that nests thousands of levels deep. That crash can't be caught, so the
 * depth is checked on the parser's tokens before documents are composed.
 *
 * @example
 * exceedsMaxNesting('['.repeat(100)) // true
 */
export function exceedsMaxNesting (text: string): boolean {
  for (const token of new Parser().parse(text)) {
    if (isTokenTooDeep(token)) return true
  }
  return false
}

/** Checks the depth of a token tree, without recursion. */
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
