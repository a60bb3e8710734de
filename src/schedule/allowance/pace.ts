import { Outcome, SUCCESSES } from '../outcome.js'

/** Requests in flight that a server gets first, so that one long prompt alone does not decide on its pace. */
const INITIAL_WINDOW = 2

/** Outcomes after which a server has to recover before it gets its full share again. */
const LOSSES: ReadonlySet<Outcome> = new Set([Outcome.unreachable, Outcome.silent, Outcome.misdirected])

/** Outcomes that show that a server got more than it can do. */
const FAILURES: ReadonlySet<Outcome> = new Set([Outcome.rejected, Outcome.failed, Outcome.broken])

/** Finds how many requests a server that starts or recovers can take, from how it answers. */
export class Pace {
  /** Requests in flight that the server may have; undefined while it is not paced. */
  private window: number | undefined

  /** Begins anew, since the server has started. */
  begin (): void {
    this.window = INITIAL_WINDOW
  }

  /** Requests in flight that the server may have; undefined while it is not paced. */
  get inFlight (): number | undefined {
    return this.window
  }

  /**
   * Records that the answer to a request has begun.
   *
   * @param isTimely - whether it began within its latency objective
   * @param slots - slots of the server
   */
  recordAnswer (isTimely: boolean, slots: number): void {
    if (this.window === undefined) return
    this.window += isTimely ? 1 : 1 / this.window
    if (this.window >= slots) this.window = undefined
  }

  /**
   * Records how a request ended. A complete response shows that the server holds what it has in flight.
   *
   * @param outcome - how it ended
   * @param inFlight - requests that the server had, this one included
   */
  recordOutcome (outcome: Outcome, inFlight: number): void {
    if (LOSSES.has(outcome)) this.window = 1
    if (this.window === undefined) return
    if (FAILURES.has(outcome)) this.window = Math.max(1, Math.floor(this.window / 2))
    if (SUCCESSES.has(outcome)) this.window = Math.max(this.window, inFlight)
  }

  /**
   * @param inFlight - requests that the server has
   * @param share - share of all hosts that use this scheduler, 0 to 1
   * @returns how many more requests the server may get; infinite while it is not paced
   */
  available (inFlight: number, share: number): number {
    return this.window === undefined ? Infinity : Math.max(0, Math.max(1, Math.floor(this.window * share)) - inFlight)
  }
}
