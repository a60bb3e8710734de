/** An operator's order that the servers of a data centre get no more requests, or the end of the order. */
export interface Evacuation {
  readonly dataCentre: string
  /** False if the order was taken back. */
  readonly isOrdered: boolean
}

/** The data centres whose servers get no requests, by order of an operator. */
export class Evacuations {
  /** Until when each order is in force, in milliseconds of monotonic time; infinite until it is taken back. */
  private readonly untilByDataCentre = new Map<string, number>()

  /**
   * Applies an order or its end.
   *
   * @param evacuation - the order
   * @param doubtUntil - until when an order is in force that is missing in the store, monotonic milliseconds
   * @returns whether anything changed
   */
  apply ({ dataCentre, isOrdered }: Evacuation, doubtUntil: number): boolean {
    const known = this.untilByDataCentre.get(dataCentre)
    if (known === undefined && !isOrdered) return false
    const until = isOrdered ? Infinity : doubtUntil
    this.untilByDataCentre.set(dataCentre, until)
    return known !== until
  }

  /**
   * @param now - monotonic time, in milliseconds
   * @returns names of the evacuated data centres
   */
  list (now: number): ReadonlySet<string> {
    for (const [dataCentre, until] of this.untilByDataCentre) {
      if (now >= until) this.untilByDataCentre.delete(dataCentre)
    }
    return new Set(this.untilByDataCentre.keys())
  }

  /**
   * @param dataCentre - name of a data centre
   * @param now - monotonic time, in milliseconds
   * @returns whether its servers get no requests
   */
  has (dataCentre: string, now: number): boolean {
    return now < (this.untilByDataCentre.get(dataCentre) ?? now)
  }
}
