import { LIMIT_RETENTION_MS, RequestLimit } from './requestlimit.js'

/** The state of a service whose servers may be brittle: they fall over if they reject too much in a second. */
export class Brittleness {
  private statement: { readonly rejectionsPerS: number, readonly statedAt: number } | undefined

  /**
   * Records that a response of one of the servers says so.
   *
   * @param rejectionsPerS - rejections for want of room per second that each server endures
   * @param now - monotonic time, in milliseconds
   */
  record (rejectionsPerS: number, now: number): void {
    this.statement = { rejectionsPerS, statedAt: now }
  }

  /**
   * Records a response that does not say so.
   *
   * @param grantedAt - when its job was granted, in milliseconds of monotonic time
   */
  recordAbsence (grantedAt: number): void {
    if (grantedAt > (this.statement?.statedAt ?? Infinity)) this.statement = undefined
  }

  /**
   * @param now - monotonic time, in milliseconds
   * @returns rejections per second that each server endures; undefined if the servers are not brittle
   */
  rejectionsPerS (now: number): number | undefined {
    if (now - (this.statement?.statedAt ?? now) > LIMIT_RETENTION_MS) this.statement = undefined
    return this.statement?.rejectionsPerS
  }

  /**
   * @param now - monotonic time, in milliseconds
   * @returns a limit that keeps a server sound even if it rejects each request
   */
  createLimit (now: number): RequestLimit {
    return new RequestLimit(this.statement?.rejectionsPerS ?? 0, now)
  }
}
