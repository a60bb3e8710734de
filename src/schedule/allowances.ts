import type { Organisation } from '../routing/index.js'
import { Allowance, type Tolerance } from './allowance.js'

/** The allowances of all organisations. */
export class Allowances {
  private readonly known = new Map<string, Allowance>()
  private organisations = new Map<string, Organisation>()
  private part = 1

  /**
   * @param tolerance - by how much they may be overdrawn
   * @param level - part of a new bucket that is full, 0 to 1
   */
  constructor (private readonly tolerance: Tolerance, private readonly level: number) {}

  /**
   * Sets whose allowances are kept.
   *
   * @param organisations - all of them
   * @param now - steady time, in milliseconds
   */
  setOrganisations (organisations: readonly Organisation[], now: number): void {
    this.organisations = new Map(organisations.map(organisation => [organisation.name, organisation]))
    for (const name of this.known.keys()) if (!this.organisations.has(name)) this.known.delete(name)
    this.changeAll(now)
  }

  /**
   * Sets which part of the allowances may be used here.
   *
   * @param part - above 0 and up to 1
   * @param now - steady time, in milliseconds
   */
  setPart (part: number, now: number): void {
    this.part = part
    this.changeAll(now)
  }

  /**
   * Takes units of an organisation's allowance if there are enough.
   *
   * @param name - the organisation's name, if any
   * @param units - how many
   * @param rank - of the work that uses them; 0 is the highest
   * @param now - steady time, in milliseconds
   * @returns 0 if they were taken, else the time until there are enough, in milliseconds
   */
  take (name: string | undefined, units: number, rank: number, now: number): number {
    const organisation = name === undefined ? undefined : this.organisations.get(name)
    if (organisation === undefined) return 0
    let allowance = this.known.get(organisation.name)
    if (allowance === undefined) {
      allowance = new Allowance(organisation, this.tolerance, this.part, this.level, now)
      this.known.set(organisation.name, allowance)
    }
    return allowance.take(units, rank, now)
  }

  /**
   * @param name - the organisation's name, if any
   * @param units - taken before, and not used
   */
  giveBack (name: string | undefined, units: number): void {
    if (name !== undefined) this.known.get(name)?.giveBack(units)
  }

  private changeAll (now: number): void {
    for (const [name, allowance] of this.known) allowance.change(this.organisations.get(name)!, this.part, now)
  }
}
