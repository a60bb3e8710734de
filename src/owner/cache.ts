import type { Answer } from './buffer.js'

interface Kept {
  readonly answer: Answer
  readonly at: number
}

/** Finished answers, kept for callers that send again, within a time and a number of bytes. */
export class Answers {
  private readonly kept = new Map<string, Kept>()
  private size = 0

  /**
   * @param greatestBytes - most bytes kept
   * @param retentionMs - longest time kept, in milliseconds
   */
  constructor (private readonly greatestBytes: number, private readonly retentionMs: number) {}

  /** How many answers are kept. */
  get count (): number {
    return this.kept.size
  }

  /** Bytes kept. */
  get bytes (): number {
    return this.size
  }

  /**
   * @param responseId - the response
   * @returns its finished answer, or undefined if it is not kept
   */
  get (responseId: string): Answer | undefined {
    return this.kept.get(responseId)?.answer
  }

  /**
   * Keeps an answer and lets go of the oldest ones past the bounds.
   *
   * @param answer - a finished answer
   * @param now - the present time, in milliseconds since the epoch
   */
  keep (answer: Answer, now: number): void {
    this.kept.set(answer.responseId, { answer, at: now })
    this.size += answer.bytes
    this.expire(now)
  }

  /**
   * Lets go of answers past the bounds.
   *
   * @param now - the present time, in milliseconds since the epoch
   */
  expire (now: number): void {
    for (const [id, kept] of this.kept) {
      if (this.size <= this.greatestBytes && kept.at > now - this.retentionMs) break
      this.kept.delete(id)
      this.size -= kept.answer.bytes
    }
  }
}
