/** Weight of a new observation against what was learned before. */
const LEARNING_RATE = 0.2

/** Prompt tokens over which the reading pace is averaged: some hundred usual prompts, so that long ones tell most. */
const MEMORY_TOKENS = 100_000

/** Time to a first event that does not depend on the prompt, in milliseconds. */
const FIRST_EVENT_MS = 15

/** What is assumed of an engine that was never seen: time for a prompt token, in milliseconds. */
const UNKNOWN_TOKEN_MS = 0.02

/** How many tokens that assumption weighs as much as. */
const UNKNOWN_WEIGHT_TOKENS = 500

/** What is assumed of a server that was never seen: pause between events or length of a call, in milliseconds. */
const UNKNOWN_STEP_MS = 40

/** How many tokens a reading pace that another scheduler learned weighs as much as. */
const ADOPTED_WEIGHT_TOKENS = 20_000

/** What one scheduler tells others of a server's pace. */
export interface PaceSummary {
  readonly server: string
  /** Time that each prompt token adds before a first event, in milliseconds. */
  readonly tokenMs: number
  /** Mean pause between events, or length of a call; in milliseconds. */
  readonly stepMs: number
}

/** How fast one server works, learned from what it did. */
export class Pace {
  /** Time and tokens of the prompts that were read, older ones weighing less. */
  private readMs = 0
  private readTokens = 0
  private learnedStepMs: number | undefined

  /**
   * Learns from the first event of a stream.
   *
   * @param firstMs - time from sending to the first event, in milliseconds
   * @param tokens - prompt tokens that the server had to read until then
   */
  sawFirst (firstMs: number, tokens: number): void {
    const kept = Math.max(0, 1 - tokens / MEMORY_TOKENS)
    this.readMs = this.readMs * kept + Math.max(0, firstMs - FIRST_EVENT_MS)
    this.readTokens = this.readTokens * kept + tokens
  }

  /** @param stepMs - mean pause between events of a stream, or the length of a call; in milliseconds */
  sawStep (stepMs: number): void {
    this.learnedStepMs = learn(this.learnedStepMs, stepMs)
  }

  /** Whether anything was learned. */
  get isKnown (): boolean {
    return this.learnedStepMs !== undefined || this.readTokens > 0
  }

  /** @param told - what another scheduler learned of the server */
  adopt ({ tokenMs, stepMs }: PaceSummary): void {
    this.readTokens = ADOPTED_WEIGHT_TOKENS
    this.readMs = Math.max(0, tokenMs * (ADOPTED_WEIGHT_TOKENS + UNKNOWN_WEIGHT_TOKENS) -
      UNKNOWN_TOKEN_MS * UNKNOWN_WEIGHT_TOKENS)
    this.learnedStepMs = stepMs
  }

  /** Time that each prompt token adds before a first event, in milliseconds. */
  get tokenMs (): number {
    return (this.readMs + UNKNOWN_TOKEN_MS * UNKNOWN_WEIGHT_TOKENS) / (this.readTokens + UNKNOWN_WEIGHT_TOKENS)
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
