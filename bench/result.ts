import type { Request } from './trace.js'

/** How a request of a trace ended. */
export const End = {
  answered: 'answered',
  refused: 'refused',
  yielded: 'yielded',
  lost: 'lost',
  /** It had not ended when the run did. */
  open: 'open'
} as const

/** One of the values of {@link End}. */
export type End = typeof End[keyof typeof End]

/** What is noted of one request during a run. */
export class Note {
  end: End = End.open
  firstAt = -1
  lastAt = -1
  endedAt = -1
  tokens = 0
  /** Time between the first and the last token, in milliseconds. */
  private gapSum = 0
  /** Refused although work of a lower tier ran or waited somewhere. */
  refusedUnfairly = false

  /** @param request - the request */
  constructor (readonly request: Request) {}

  /** @param now - when a token came */
  token (now: number): void {
    if (this.firstAt < 0) this.firstAt = now
    else this.gapSum += now - this.lastAt
    this.lastAt = now
    this.tokens++
  }

  /**
   * @param end - how the request ended
   * @param now - when
   */
  finish (end: End, now: number): void {
    if (this.end !== End.open) return
    this.end = end
    this.endedAt = now
  }

  /** Mean time between tokens, in milliseconds. */
  get gapMs (): number {
    return this.tokens < 2 ? 0 : this.gapSum / (this.tokens - 1)
  }

  /** Time to the first token, in milliseconds. */
  get firstMs (): number {
    return this.firstAt - this.request.at
  }

  /** Whether the whole answer came within both targets. */
  get isGood (): boolean {
    const { kind, at } = this.request
    return this.end === End.answered && this.firstMs <= kind.startWithinMs && this.endedAt - at <= kind.finishWithinMs
  }
}

/** The figures of one tier, or of all. */
export interface Figures {
  readonly sent: number
  /** Share of requests answered within both targets. */
  readonly good: number
  readonly refused: number
  readonly yielded: number
  readonly late: number
  readonly lost: number
  readonly firstP50: number
  readonly firstP95: number
  readonly firstP99: number
  readonly gapP95: number
  /** Refused although work of a lower tier ran or waited. */
  readonly unfair: number
  /** Tokens read and produced for answers that were not good. */
  readonly wasted: number
}

function quantile (values: readonly number[], share: number): number {
  const sorted = [...values].sort((a, b) => a - b)
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0
}

/**
 * @param notes - the requests
 * @returns their figures
 */
export function figuresOf (notes: readonly Note[]): Figures {
  const started = notes.filter(note => note.firstAt >= 0)
  const count = (end: End): number => notes.filter(note => note.end === end).length
  const first = started.map(note => note.firstMs)
  return {
    sent: notes.length,
    good: notes.length === 0 ? 1 : notes.filter(note => note.isGood).length / notes.length,
    refused: count(End.refused),
    yielded: count(End.yielded),
    late: notes.filter(note => note.end === End.answered && !note.isGood).length,
    lost: count(End.lost) + count(End.open),
    firstP50: quantile(first, 0.5),
    firstP95: quantile(first, 0.95),
    firstP99: quantile(first, 0.99),
    gapP95: quantile(started.filter(note => note.tokens > 1).map(note => note.gapMs), 0.95),
    unfair: notes.filter(note => note.refusedUnfairly).length,
    wasted: started.filter(note => !note.isGood).reduce((sum, note) => sum + note.tokens + note.request.prompt, 0)
  }
}
