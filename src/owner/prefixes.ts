const GREATEST_ENTRIES = 2_000

/** Prompt prefixes that a server was lately given, and so likely has cached. */
export class Prefixes {
  private readonly recent = new Map<string, number>()

  /**
   * @param prefix - hash of a prefix; empty for none
   * @returns tokens of it that are likely cached
   */
  cached (prefix: string): number {
    return prefix === '' ? 0 : this.recent.get(prefix) ?? 0
  }

  /**
   * @param prefix - hash of the prefix of a dispatched request; empty for none
   * @param tokens - the prefix's length
   */
  note (prefix: string, tokens: number): void {
    if (prefix === '') return
    this.recent.delete(prefix)
    this.recent.set(prefix, tokens)
    if (this.recent.size <= GREATEST_ENTRIES) return
    const oldest = this.recent.keys().next().value
    if (oldest !== undefined) this.recent.delete(oldest)
  }
}
