/** Weight of a new sample of the step time in its exponential moving average. */
const STEP_SAMPLE_WEIGHT = 0.2

/** Prompt tokens in the averaging window of the prefill time: some hundred typical prompts, so long ones weigh most. */
const PREFILL_WINDOW_TOKENS = 100_000

/** Part of the time to first event that does not depend on the prompt, in milliseconds. */
const FIRST_EVENT_BASE_MS = 15

/** Assumed prefill time for each prompt token of an engine without samples, in milliseconds. */
const DEFAULT_TOKEN_MS = 0.02

/** Weight of {@link DEFAULT_TOKEN_MS} against samples, as a number of tokens. */
const DEFAULT_WEIGHT_TOKENS = 500

/** Assumed gap between events, or length of a call, of a server without samples, in milliseconds. */
const DEFAULT_STEP_MS = 40

/** Weight of a prefill time adopted from another scheduler, as a number of tokens. */
const ADOPTED_WEIGHT_TOKENS = 20_000

/** Speed estimate of one server, as schedulers exchange it. */
export interface SpeedSummary {
  readonly server: string
  /** Prefill time for each prompt token, in milliseconds. */
  readonly tokenMs: number
  /** Mean gap between events, or length of a call; in milliseconds. */
  readonly stepMs: number
}

/** Estimate of how fast one server works, from the timing of its responses. */
export class SpeedEstimate {
  /** Prefill time and prompt tokens of observed prompts; both decay with each new prompt. */
  private prefillMs = 0
  private prefillTokens = 0
  private averageStepMs: number | undefined

  /**
   * Updates the prefill time from the first event of a stream.
   *
   * @param firstEventMs - time from the grant to the first event, in milliseconds
   * @param tokens - prompt tokens that the server processed in that time
   */
  recordFirstEvent (firstEventMs: number, tokens: number): void {
    const decay = Math.max(0, 1 - tokens / PREFILL_WINDOW_TOKENS)
    this.prefillMs = this.prefillMs * decay + Math.max(0, firstEventMs - FIRST_EVENT_BASE_MS)
    this.prefillTokens = this.prefillTokens * decay + tokens
  }

  /** @param stepMs - mean gap between events of a stream, or the length of a call; in milliseconds */
  recordStep (stepMs: number): void {
    this.averageStepMs = updateAverage(this.averageStepMs, stepMs)
  }

  /** Whether the estimate rests on samples or on an adopted summary, rather than on the defaults alone. */
  get hasData (): boolean {
    return this.averageStepMs !== undefined || this.prefillTokens > 0
  }

  /** @param summary - another scheduler's estimate of the server, which replaces this one */
  adopt ({ tokenMs, stepMs }: SpeedSummary): void {
    this.prefillTokens = ADOPTED_WEIGHT_TOKENS
    this.prefillMs = Math.max(0, tokenMs * (ADOPTED_WEIGHT_TOKENS + DEFAULT_WEIGHT_TOKENS) -
      DEFAULT_TOKEN_MS * DEFAULT_WEIGHT_TOKENS)
    this.averageStepMs = stepMs
  }

  /** Prefill time for each prompt token, in milliseconds. */
  get tokenMs (): number {
    return (this.prefillMs + DEFAULT_TOKEN_MS * DEFAULT_WEIGHT_TOKENS) / (this.prefillTokens + DEFAULT_WEIGHT_TOKENS)
  }

  /** Mean gap between events, or length of a call; in milliseconds. */
  get stepMs (): number {
    return this.averageStepMs ?? DEFAULT_STEP_MS
  }

  /**
   * @param tokens - prompt tokens to process, those of earlier requests included
   * @returns the expected time to first event, in milliseconds
   */
  firstEventMs (tokens: number): number {
    return FIRST_EVENT_BASE_MS + tokens * this.tokenMs
  }
}

function updateAverage (average: number | undefined, sample: number): number {
  return average === undefined ? sample : average + STEP_SAMPLE_WEIGHT * (sample - average)
}
