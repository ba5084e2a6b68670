/** Maximum edit distance between a name and a suggestion. */
const MAX_EDITS = 3

/**
 * Suggests the known name that is nearest to an unknown one.
 *
 * @param name the unknown name
 * @param known the valid names
 * @returns the nearest name, or undefined if none is close
 * @example
 * nearestName('regoin', ['region', 'hostId']) // 'region'
 */
export function nearestName (name: string, known: readonly string[]): string | undefined {
  let nearest: string | undefined
  let fewest = Math.min(MAX_EDITS, Math.ceil(name.length / 2)) + 1
  for (const candidate of known) {
    const edits = editDistance(name.toLowerCase(), candidate.toLowerCase())
    if (edits < fewest) {
      fewest = edits
      nearest = candidate
    }
  }
  return nearest
}

/** Levenshtein distance of two short names. */
function editDistance (a: string, b: string): number {
  let row = Array.from({ length: b.length + 1 }, (_, column) => column)
  for (let i = 1; i <= a.length; i++) {
    const next = [i]
    for (let j = 1; j <= b.length; j++) {
      const replaced = (row[j - 1] ?? 0) + (a[i - 1] === b[j - 1] ? 0 : 1)
      next.push(Math.min(replaced, (row[j] ?? 0) + 1, (next[j - 1] ?? 0) + 1))
    }
    row = next
  }
  return row[b.length] ?? 0
}
