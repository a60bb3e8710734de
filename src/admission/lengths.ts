const FIRST_TOKENS = 200
const WEIGHT = 0.1
const GREATEST_ENTRIES = 10_000

/** How long answers are, learned per class and organisation. */
export class Lengths {
  private readonly means = new Map<string, number>()

  /**
   * @param className - a class's name
   * @param organisation - an organisation's name
   * @returns output tokens to expect
   */
  expect (className: string, organisation: string): number {
    return this.means.get(`${className}/${organisation}`) ?? this.means.get(className) ?? FIRST_TOKENS
  }

  /**
   * Learns from a finished answer.
   *
   * @param className - the class's name
   * @param organisation - the organisation's name
   * @param tokens - output tokens of the answer
   */
  learn (className: string, organisation: string, tokens: number): void {
    this.blend(className, tokens)
    this.blend(`${className}/${organisation}`, tokens)
  }

  private blend (name: string, tokens: number): void {
    const before = this.means.get(name) ?? tokens
    this.means.delete(name)
    this.means.set(name, before + WEIGHT * (tokens - before))
    if (this.means.size <= GREATEST_ENTRIES) return
    const oldest = this.means.keys().next().value
    if (oldest !== undefined) this.means.delete(oldest)
  }
}
