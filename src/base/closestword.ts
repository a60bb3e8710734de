/** Computes the Levenshtein distance of two strings. */
function editDistance (a: string, b: string): number {
  let row = Array.from({ length: b.length + 1 }, (_, i) => i)
  for (let i = 1; i <= a.length; i++) {
    const next = [i]
    for (let j = 1; j <= b.length; j++) {
      const substitution = row[j - 1]! + (a[i - 1] === b[j - 1] ? 0 : 1)
      next.push(Math.min(substitution, row[j]! + 1, next[j - 1]! + 1))
    }
    row = next
  }
  return row[b.length]!
}

/**
 * Finds the known word with the smallest edit distance to a mistyped one.
 *
 * @param word - the word as typed
 * @param known - the valid words
 * @returns the closest valid word, the first one on a tie; undefined if `known` is empty
 */
export function closestWord (word: string, known: readonly string[]): string | undefined {
  let best: string | undefined
  let bestDistance = Infinity
  for (const candidate of known) {
    const distance = editDistance(word, candidate)
    if (distance < bestDistance) {
      bestDistance = distance
      best = candidate
    }
  }
  return best
}
