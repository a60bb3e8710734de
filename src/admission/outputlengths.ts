/** Initial estimate for a class without finished answers. */
const INITIAL_OUTPUT_TOKENS = 200
/** Weight of a new sample in the moving average. */
const SMOOTHING_FACTOR = 0.1
/** Maximum number of averages kept; the least recently updated one is evicted first. */
const MAX_AVERAGES = 10_000

/** Moving averages of the output length of answers, per class and per class and organisation. */
export class OutputLengths {
  /** In order of their last update. */
  private readonly averages = new Map<string, number>()

  /**
   * Estimates the output length of an answer. Falls back to the average of the
   * class for an organisation without finished answers in it.
   *
   * @param className - name of the request's class
   * @param organisation - name of the caller's organisation
   * @returns the expected number of output tokens
   */
  estimate (className: string, organisation: string): number {
    return this.averages.get(`${className}/${organisation}`) ?? this.averages.get(className) ?? INITIAL_OUTPUT_TOKENS
  }

  /**
   * Records the length of a finished answer.
   *
   * @param className - name of the request's class
   * @param organisation - name of the caller's organisation
   * @param tokens - output tokens of the answer
   */
  record (className: string, organisation: string, tokens: number): void {
    this.updateAverage(className, tokens)
    this.updateAverage(`${className}/${organisation}`, tokens)
  }

  private updateAverage (key: string, tokens: number): void {
    const average = this.averages.get(key) ?? tokens
    this.averages.delete(key)
    this.averages.set(key, average + SMOOTHING_FACTOR * (tokens - average))
    if (this.averages.size <= MAX_AVERAGES) return
    const oldestKey = this.averages.keys().next().value
    if (oldestKey !== undefined) this.averages.delete(oldestKey)
  }
}
