import type { Job } from './job.js'

const INITIAL_PREFILL_MS_PER_TOKEN = 0.2
const INITIAL_TOKEN_GAP_MS = 30
/** Weight of a new sample in a moving average. */
const SMOOTHING_FACTOR = 0.1
/**
 * The prefill time weights shorter samples more than longer ones, because
 * longer ones include time that the job was queued inside the server.
 */
const SHORTER_PREFILL_SMOOTHING_FACTOR = 0.2
const LONGER_PREFILL_SMOOTHING_FACTOR = 0.01

function updateAverage (average: number, sample: number, smoothingFactor: number = SMOOTHING_FACTOR): number {
  return average + smoothingFactor * (sample - average)
}

/** Moving averages of a server's prefill and decode times, from the timing of its answers. */
export class SpeedEstimate {
  private prefillAverageMs = INITIAL_PREFILL_MS_PER_TOKEN
  private tokenGapAverageMs = INITIAL_TOKEN_GAP_MS

  /** Prefill time per prompt token, in milliseconds. */
  get prefillMsPerToken (): number {
    return this.prefillAverageMs
  }

  /** Time between two output tokens of one answer, in milliseconds. */
  get tokenGapMs (): number {
    return this.tokenGapAverageMs
  }

  /**
   * Records the first token of an answer.
   *
   * @param promptTokens - prompt tokens that the server had to process
   * @param elapsedMs - time from dispatch to the first token, in milliseconds
   */
  recordFirstToken (promptTokens: number, elapsedMs: number): void {
    const sample = Math.max(0, elapsedMs - this.tokenGapAverageMs) / Math.max(promptTokens, 1)
    this.prefillAverageMs = updateAverage(
      this.prefillAverageMs, sample,
      sample < this.prefillAverageMs ? SHORTER_PREFILL_SMOOTHING_FACTOR : LONGER_PREFILL_SMOOTHING_FACTOR
    )
  }

  /**
   * Records further tokens of an answer.
   *
   * @param tokens - number of tokens received together
   * @param elapsedMs - time since the previous token, in milliseconds
   */
  recordTokens (tokens: number, elapsedMs: number): void {
    this.tokenGapAverageMs = updateAverage(this.tokenGapAverageMs, elapsedMs / tokens)
  }

  /**
   * @param job - the job to estimate
   * @returns expected time from dispatch to the first token, in milliseconds
   */
  firstTokenMs (job: Job): number {
    return this.tokenGapAverageMs + job.promptTokens * this.prefillAverageMs
  }

  /**
   * @param job - the job to estimate
   * @returns expected time from dispatch to the last token, in milliseconds
   */
  serviceMs (job: Job): number {
    return this.firstTokenMs(job) + job.outputTokens * this.tokenGapAverageMs
  }
}
