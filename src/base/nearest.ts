function distance (a: string, b: string): number {
  let row = Array.from({ length: b.length + 1 }, (_, i) => i)
  for (let i = 1; i <= a.length; i++) {
    const next = [i]
    for (let j = 1; j <= b.length; j++) {
      const change = row[j - 1]! + (a[i - 1] === b[j - 1] ? 0 : 1)
      next.push(Math.min(change, row[j]! + 1, next[j - 1]! + 1))
    }
    row = next
  }
  return row[b.length]!
}

/**
 * Finds the known word that a mistyped one most likely stands for.
 *
 * @param word - the word as typed
 * @param known - the words that would have been understood
 * @returns the nearest known word, or undefined if there is none
 */
export function nearest (word: string, known: readonly string[]): string | undefined {
  let best: string | undefined
  let least = Infinity
  for (const candidate of known) {
    const steps = distance(word, candidate)
    if (steps < least) {
      least = steps
      best = candidate
    }
  }
  return best
}
