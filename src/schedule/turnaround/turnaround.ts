/** Weight of a new sample in the exponential moving averages. */
const SAMPLE_WEIGHT = 0.1

/** Most calls beyond its slots that a server gets, as a share of them, so that each waits for one other at most. */
const MAX_EXTRA_SHARE = 0.5

/** Time after a rejection in which a server gets no more calls than it has slots, in milliseconds. */
const REJECTION_PAUSE_MS = 10_000

/**
 * Measures for how long a slot of one server lies idle between two calls, and decides how many calls more than it has
 * slots the server may have so that none does.
 */
export class Turnaround {
  private idleMs = 0
  private callMs = 0
  private rejectedAt = -Infinity

  /**
   * Records a call that the server completed.
   *
   * @param slotMs - time for which the call held its slot at the scheduler, in milliseconds
   * @param callMs - time for which its host waited for the server, in milliseconds
   */
  recordCall (slotMs: number, callMs: number): void {
    // A host that freezes reports an end late, which says nothing about the next one.
    const idleMs = Math.min(Math.max(0, slotMs - callMs), callMs)
    const weight = this.callMs === 0 ? 1 : SAMPLE_WEIGHT
    this.idleMs += weight * (idleMs - this.idleMs)
    this.callMs += weight * (callMs - this.callMs)
  }

  /**
   * Records that the server rejected a call while it had more than it has slots.
   *
   * @param now - monotonic time, in milliseconds
   */
  recordRejection (now: number): void {
    this.rejectedAt = now
  }

  /**
   * @param slots - slots of the server
   * @param share - share of them that may be used here, 0 to 1
   * @param now - monotonic time, in milliseconds
   * @returns how many calls more than that the server may have
   */
  extraCalls (slots: number, share: number, now: number): number {
    if (this.callMs === 0 || now - this.rejectedAt < REJECTION_PAUSE_MS) return 0
    const idleSlots = Math.min(slots * this.idleMs / this.callMs, slots * MAX_EXTRA_SHARE)
    return share < 1 ? Math.floor(idleSlots * share) : Math.round(idleSlots)
  }
}
