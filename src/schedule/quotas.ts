import type { Organisation } from '../routing/index.js'
import { Allowance, type Tolerance } from './quota.js'

/** Less of all hosts' work than this says little of what an organisation uses in all. */
const PUBLISHED_PART = 0.5

/** What a scheduler had left of an allowance. */
export interface AllowanceLevel {
  readonly organisation: string
  /** Part of the whole bucket; below 0 for a debt. */
  readonly level: number
  /** How old this is, in milliseconds. */
  readonly ageMs: number
}

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
    return this.of(name, now)?.take(units, rank, now) ?? 0
  }

  /**
   * Takes over what another scheduler had left of an allowance.
   *
   * @param told - what it had left
   * @param now - steady time, in milliseconds
   */
  adopt (told: AllowanceLevel, now: number): void {
    this.of(told.organisation, now)?.adopt(told.level, now - told.ageMs, now)
  }

  /**
   * @param name - the organisation's name, if any
   * @returns what is left, as a part of the whole bucket; undefined if only a small part of it is kept here
   */
  left (name: string | undefined): number | undefined {
    return name === undefined || this.part < PUBLISHED_PART ? undefined : this.known.get(name)?.left
  }

  /**
   * @param name - the organisation's name, if any
   * @param units - taken before, and not used
   * @param now - steady time, in milliseconds
   */
  giveBack (name: string | undefined, units: number, now: number): void {
    if (name !== undefined) this.known.get(name)?.giveBack(units, now)
  }

  private of (name: string | undefined, now: number): Allowance | undefined {
    const organisation = name === undefined ? undefined : this.organisations.get(name)
    if (organisation === undefined) return undefined
    let allowance = this.known.get(organisation.name)
    if (allowance === undefined) {
      allowance = new Allowance(organisation, this.tolerance, this.part, this.level, now)
      this.known.set(organisation.name, allowance)
    }
    return allowance
  }

  private changeAll (now: number): void {
    for (const [name, allowance] of this.known) allowance.change(this.organisations.get(name)!, this.part, now)
  }
}
