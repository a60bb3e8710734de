/** What start-time fair queueing needs to know of a job. */
export interface ShareClaim {
  /** The organisation, if any. */
  readonly organisation: string | undefined
  /** Units of quota that the job uses. */
  readonly units: number
}

/**
 * Start-time fair queueing between the organisations of one service. An organisation's surge queues behind itself; an
 * idle share is anyone's, and is paid back to no one.
 */
export class FairShares {
  private virtualTime = 0
  private readonly finishTags = new Map<string, number>()

  /**
   * Computes the start tag of a job that is queued. Jobs with lower tags are served first.
   *
   * @param claim - the job
   * @param weight - weight of its organisation, above 0
   * @returns the tag; that of the job granted last if it belongs to no organisation
   */
  queue ({ organisation, units }: ShareClaim, weight: number): number {
    if (organisation === undefined) return this.virtualTime
    const startTag = Math.max(this.virtualTime, this.finishTags.get(organisation) ?? 0)
    this.finishTags.set(organisation, startTag + units / weight)
    return startTag
  }

  /** @param startTag - the tag of a job that is granted a slot */
  recordGrant (startTag: number): void {
    if (startTag <= this.virtualTime) return
    this.virtualTime = startTag
    for (const [organisation, tag] of this.finishTags) if (tag <= startTag) this.finishTags.delete(organisation)
  }
}
