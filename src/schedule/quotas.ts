import type { Organisation } from '../routing/index.js'
import { type OvershootLimits, Quota } from './quota.js'

/**
 * A scheduler that sees less than this share of all hosts' requests publishes no balances, since its own say little
 * about an organisation's total use.
 */
const MIN_PUBLISHED_SHARE = 0.5

/** Quota balance of one organisation at a scheduler. */
export interface QuotaBalance {
  readonly organisation: string
  /** Balance as a share of the whole bucket; negative after overuse. */
  readonly level: number
  /** Age of the balance, in milliseconds. */
  readonly ageMs: number
}

/** The quotas of all organisations. */
export class Quotas {
  private readonly quotas = new Map<string, Quota>()
  private organisations = new Map<string, Organisation>()
  private share = 1

  /**
   * @param overshoot - how far use may exceed the quotas
   * @param initialFill - initial fill of a new bucket, 0 to 1
   */
  constructor (private readonly overshoot: OvershootLimits, private readonly initialFill: number) {}

  /**
   * Sets the organisations that have quotas.
   *
   * @param organisations - all of them; quotas of others are dropped
   * @param now - monotonic time, in milliseconds
   */
  setOrganisations (organisations: readonly Organisation[], now: number): void {
    this.organisations = new Map(organisations.map(organisation => [organisation.name, organisation]))
    for (const name of this.quotas.keys()) if (!this.organisations.has(name)) this.quotas.delete(name)
    this.updateAll(now)
  }

  /**
   * Sets the share of each quota that may be used here.
   *
   * @param share - above 0 and up to 1
   * @param now - monotonic time, in milliseconds
   */
  setShare (share: number, now: number): void {
    this.share = share
    this.updateAll(now)
  }

  /**
   * Takes units of an organisation's quota if its balance suffices.
   *
   * @param name - the organisation's name, if any
   * @param units - number of units
   * @param rank - rank of the job that uses them; 0 is the highest
   * @param now - monotonic time, in milliseconds
   * @returns 0 if they were taken, else the time until the balance suffices, in milliseconds
   */
  take (name: string | undefined, units: number, rank: number, now: number): number {
    return this.get(name, now)?.take(units, rank, now) ?? 0
  }

  /**
   * Adopts the quota balances of the previous scheduler.
   *
   * @param balances - the balances that a host last received from it
   * @param now - monotonic time, in milliseconds
   */
  adopt (balances: readonly QuotaBalance[], now: number): void {
    for (const { organisation, level, ageMs } of balances) {
      this.get(organisation, now)?.adopt(level, now - ageMs, now)
    }
  }

  /**
   * @param name - the organisation's name, if any
   * @returns the balance as a share of the whole bucket; undefined if this scheduler sees too few requests to know it
   */
  balanceShare (name: string | undefined): number | undefined {
    return name === undefined || this.share < MIN_PUBLISHED_SHARE ? undefined : this.quotas.get(name)?.balanceShare
  }

  /**
   * Returns units to an organisation's quota.
   *
   * @param name - the organisation's name, if any
   * @param units - units that were taken and not used
   * @param now - monotonic time, in milliseconds
   */
  refund (name: string | undefined, units: number, now: number): void {
    if (name !== undefined) this.quotas.get(name)?.refund(units, now)
  }

  /**
   * @param name - the organisation's name, if any
   * @returns its weight against others: the rate of its quota, or 1 if it has none
   */
  weight (name: string | undefined): number {
    const ratePerS = name === undefined ? 0 : this.organisations.get(name)?.ratePerS ?? 0
    return ratePerS > 0 ? ratePerS : 1
  }

  private get (name: string | undefined, now: number): Quota | undefined {
    const organisation = name === undefined ? undefined : this.organisations.get(name)
    if (organisation === undefined) return undefined
    let quota = this.quotas.get(organisation.name)
    if (quota === undefined) {
      quota = new Quota(organisation, this.overshoot, this.share, this.initialFill, now)
      this.quotas.set(organisation.name, quota)
    }
    return quota
  }

  private updateAll (now: number): void {
    for (const [name, quota] of this.quotas) quota.update(this.organisations.get(name)!, this.share, now)
  }
}
