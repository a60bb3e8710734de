const MAX_ENTRIES = 2_000

/** The prompt prefixes most recently sent to a server, which it has probably cached. */
export class RecentPrefixes {
  private readonly tokensByPrefix = new Map<string, number>()

  /**
   * @param prefix - hash of a prefix; empty for none
   * @returns number of tokens of the prefix that the server has probably cached
   */
  cachedTokens (prefix: string): number {
    return prefix === '' ? 0 : this.tokensByPrefix.get(prefix) ?? 0
  }

  /**
   * Records the prefix of a dispatched request.
   *
   * @param prefix - hash of the prefix; empty for none
   * @param tokens - length of the prefix, in tokens
   */
  recordPrefix (prefix: string, tokens: number): void {
    if (prefix === '') return
    this.tokensByPrefix.delete(prefix)
    this.tokensByPrefix.set(prefix, tokens)
    if (this.tokensByPrefix.size <= MAX_ENTRIES) return
    const oldest = this.tokensByPrefix.keys().next().value
    if (oldest !== undefined) this.tokensByPrefix.delete(oldest)
  }
}
