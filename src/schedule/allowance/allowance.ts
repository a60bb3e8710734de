import type { Outcome } from '../outcome.js'
import type { RunningJob } from '../runningjob.js'
import { BrittleRoom } from './brittleroom.js'
import type { ColdBound } from './coldbound.js'
import type { Brittleness } from './brittleness.js'
import { ColdLimit } from './coldlimit.js'
import type { HostShares } from './hostshares.js'
import { Pace } from './pace.js'
import { LIMIT_RETENTION_MS, RequestLimit } from './requestlimit.js'

/** What bounds the requests to each server of a service. */
export interface ServiceBounds {
  readonly brittleness: Brittleness
  readonly cold: ColdBound
}

/** Decides how many requests one server may get now. Each bound is an input; the smallest holds. */
export class Allowance {
  readonly brittleRoom: BrittleRoom
  readonly cold: ColdLimit
  readonly pace = new Pace()
  private requestLimit: RequestLimit | undefined

  /** @param bounds - the bounds of the server's service */
  constructor (bounds: ServiceBounds) {
    this.brittleRoom = new BrittleRoom(bounds.brittleness)
    this.cold = new ColdLimit(bounds.cold)
  }

  /** Requests per second that the server accepts from all hosts together; undefined if it states no limit. */
  get requestsPerS (): number | undefined {
    return this.requestLimit?.requestsPerS
  }

  /** @param now - monotonic time at which the server is granted a request, in milliseconds */
  recordGrant (now: number): void {
    this.requestLimit?.take()
    this.brittleRoom.recordGrant()
    this.cold.recordGrant(now)
  }

  /**
   * Records the limit of requests that a response of the server states.
   *
   * @param run - the job whose response it is, if known
   * @param requestsPerS - requests per second from all hosts together
   * @param now - monotonic time, in milliseconds
   */
  recordRequestLimit (run: RunningJob | undefined, requestsPerS: number, now: number): void {
    if (this.requestLimit === undefined) this.requestLimit = new RequestLimit(requestsPerS, now)
    else this.requestLimit.update(requestsPerS, now)
    if (run !== undefined) run.statesLimit = true
  }

  /**
   * Ends what a response does not state, if its job was granted after it was last stated.
   *
   * @param run - a job whose response has begun, if known
   */
  recordResponse (run: RunningJob | undefined): void {
    this.brittleRoom.recordResponse(run)
    if (run === undefined || run.statesLimit || this.requestLimit === undefined) return
    if (run.grantedAt > this.requestLimit.statedAt) this.requestLimit = undefined
  }

  /**
   * Records how a job ended.
   *
   * @param outcome - how it ended
   * @param inFlight - requests that the server had, this one included
   * @param now - monotonic time, in milliseconds
   */
  recordOutcome (outcome: Outcome, inFlight: number, now: number): void {
    this.brittleRoom.recordOutcome(outcome, now)
    this.pace.recordOutcome(outcome, inFlight)
  }

  /**
   * @param slots - slots of the server
   * @param running - the jobs that it runs
   * @param shares - shares of the bounds that may be used here
   * @param now - monotonic time, in milliseconds
   * @returns how many more requests the server may get; infinite if nothing bounds them
   */
  available (slots: number, running: ReadonlyMap<string, RunningJob>, shares: HostShares, now: number): number {
    if (now - (this.requestLimit?.statedAt ?? now) > LIMIT_RETENTION_MS) this.requestLimit = undefined
    return Math.min(
      this.brittleRoom.available(slots, running, shares.connected, now),
      this.requestLimit?.available(shares.connected, now) ?? Infinity,
      this.cold.available(shares, now),
      this.pace.available(running.size, shares.connected)
    )
  }
}
