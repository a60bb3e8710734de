/** Weight of a new observation against what was learned before. */
const LEARNING_RATE = 0.2

/** Prompts with fewer tokens say little about how fast a server reads. */
const TELLING_TOKENS = 1_000

/** Time to a first event that does not depend on the prompt, in milliseconds. */
const FIRST_EVENT_MS = 15

/** What is assumed of an engine that was never seen: time for a prompt token, in milliseconds. */
const UNKNOWN_TOKEN_MS = 0.02

/** What is assumed of a server that was never seen: pause between events or length of a call, in milliseconds. */
const UNKNOWN_STEP_MS = 40

/** How fast one server works, learned from what it did. */
export class Pace {
  private learnedTokenMs: number | undefined
  private learnedStepMs: number | undefined

  /**
   * Learns from the first event of a stream.
   *
   * @param firstMs - time from sending to the first event, in milliseconds
   * @param tokens - prompt tokens that the server had to read until then
   */
  sawFirst (firstMs: number, tokens: number): void {
    if (tokens < TELLING_TOKENS) return
    const seen = Math.max(0, firstMs - FIRST_EVENT_MS) / tokens
    this.learnedTokenMs = learn(this.learnedTokenMs, seen)
  }

  /** @param stepMs - mean pause between events of a stream, or the length of a call; in milliseconds */
  sawStep (stepMs: number): void {
    this.learnedStepMs = learn(this.learnedStepMs, stepMs)
  }

  /** Time that each prompt token adds before a first event, in milliseconds. */
  get tokenMs (): number {
    return this.learnedTokenMs ?? UNKNOWN_TOKEN_MS
  }

  /** Mean pause between events, or length of a call; in milliseconds. */
  get stepMs (): number {
    return this.learnedStepMs ?? UNKNOWN_STEP_MS
  }

  /**
   * @param tokens - prompt tokens to be read, own and of requests before
   * @returns the time until the first event, in milliseconds
   */
  firstEventMs (tokens: number): number {
    return FIRST_EVENT_MS + tokens * this.tokenMs
  }
}

function learn (known: number | undefined, seen: number): number {
  return known === undefined ? seen : known + LEARNING_RATE * (seen - known)
}
