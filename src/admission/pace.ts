import type { Job } from './job.js'

const FIRST_PREFILL_MS = 0.2
const FIRST_GAP_MS = 30
const WEIGHT = 0.1
/** The time per prompt token follows quick samples fast and slow ones hardly: these waited inside the server. */
const QUICK_WEIGHT = 0.2
const SLOW_WEIGHT = 0.01

function blend (before: number, sample: number, weight: number = WEIGHT): number {
  return before + weight * (sample - before)
}

/** How fast a server has been, learned from its answers. */
export class Pace {
  private prefill = FIRST_PREFILL_MS
  private gap = FIRST_GAP_MS

  /** Time per prompt token, in milliseconds. */
  get prefillMs (): number {
    return this.prefill
  }

  /** Time between two tokens of one answer, in milliseconds. */
  get gapMs (): number {
    return this.gap
  }

  /**
   * Learns from a first token.
   *
   * @param promptTokens - tokens that were read for it
   * @param tookMs - time from dispatch to the first token, in milliseconds
   */
  learnFirst (promptTokens: number, tookMs: number): void {
    const sample = Math.max(0, tookMs - this.gap) / Math.max(promptTokens, 1)
    this.prefill = blend(this.prefill, sample, sample < this.prefill ? QUICK_WEIGHT : SLOW_WEIGHT)
  }

  /**
   * Learns from further tokens.
   *
   * @param tokens - how many came
   * @param tookMs - time since the token before them, in milliseconds
   */
  learnGap (tokens: number, tookMs: number): void {
    this.gap = blend(this.gap, tookMs / tokens)
  }

  /**
   * @param job - a job
   * @returns the time to its first token once dispatched, in milliseconds
   */
  startMs (job: Job): number {
    return this.gap + job.promptTokens * this.prefill
  }

  /**
   * @param job - a job
   * @returns the time to its last token once dispatched, in milliseconds
   */
  serviceMs (job: Job): number {
    return this.startMs(job) + job.outputTokens * this.gap
  }
}
