import { SECOND_MS } from '../base/index.js'
import type { Organisation } from '../routing/index.js'

/** By how much an organisation may go over its rate and burst in all, as operators bear it. */
export interface Tolerance {
  /** Part of rate and burst. */
  readonly part: number
  /** Units beside that part. */
  readonly units: number
}

/** Part of the tolerance that is given away; the rest covers the moments in which two schedulers count. */
const GIVEN_PART = 0.5

/**
 * Part of the bucket that each rank leaves to the ranks above it, beginning with the highest: when an allowance runs
 * short, lower ranks are refused first, and a long prompt of the highest rank still finds enough.
 */
const RESERVED_PARTS = [0, 0.2, 0.3]

/** Requests of up to this part of the bucket go before any reserve: refusing them would save next to nothing. */
const SMALL_PART = 0.0025

/** Part of the bucket that is full when the use before is not known, as after a change of scheduler. */
export const UNKNOWN_LEVEL = 0.4

/** How long an allowance remembers what it gave, in milliseconds: news of it that are older are not taken. */
export const GIVEN_MEMORY_MS = 10_000

/** Units that were given within this time count as one, in milliseconds: keeps the memory small. */
const GIVEN_TOGETHER_MS = 50

interface Given {
  readonly at: number
  units: number
}

/** What one organisation may still use: a bucket that fills at its rate. */
export class Allowance {
  private level: number
  private filledAt: number
  private given: Given[] = []
  /** As of when another scheduler's level was told last. */
  private adoptedAt = -Infinity

  /**
   * @param organisation - states rate and burst
   * @param tolerance - how much more is borne
   * @param share - part of them that may be used here, 0 to 1
   * @param level - part of the bucket that is full, 0 to 1
   * @param now - steady time, in milliseconds
   */
  constructor (
    private organisation: Organisation,
    private readonly tolerance: Tolerance,
    private share: number,
    level: number,
    now: number
  ) {
    this.level = this.most * level
    this.filledAt = now
  }

  /**
   * Changes the rate and burst.
   *
   * @param organisation - states them
   * @param share - part of them that may be used here, 0 to 1
   * @param now - steady time, in milliseconds
   */
  change (organisation: Organisation, share: number, now: number): void {
    this.fill(now)
    // Hosts that come in bring their part of what is left.
    this.level *= share / this.share
    this.organisation = organisation
    this.share = share
    this.level = Math.min(this.level, this.most)
  }

  /**
   * Takes units if there are enough.
   *
   * @param units - how many
   * @param rank - of the work that uses them; 0 is the highest
   * @param now - steady time, in milliseconds
   * @returns 0 if they were taken, else the time until there are enough, in milliseconds
   */
  take (units: number, rank: number, now: number): number {
    if (this.organisation.ratePerS <= 0) return 0
    this.fill(now)
    // A request of more units than fit into the bucket passes when it is full, and leaves a debt.
    const isSmall = units <= SMALL_PART * this.most
    const reserved = isSmall ? 0 : RESERVED_PARTS[Math.min(rank, RESERVED_PARTS.length - 1)]! * this.most
    const wanted = Math.min(units + reserved, this.most)
    if (this.level >= wanted) {
      this.level -= units
      this.remember(units, now)
      return 0
    }
    return (wanted - this.level) / this.ratePerMs
  }

  /**
   * @param units - taken before, and not used
   * @param now - steady time, in milliseconds
   */
  giveBack (units: number, now: number): void {
    this.level = Math.min(this.level + units, this.most)
    this.remember(-units, now)
  }

  /**
   * Takes over what another scheduler had left; what was given here since is taken off.
   *
   * @param part - of the bucket, below 0 for a debt
   * @param at - as of when, steady milliseconds
   * @param now - steady time, in milliseconds
   */
  adopt (part: number, at: number, now: number): void {
    if (at <= this.adoptedAt || now - at > GIVEN_MEMORY_MS) return
    this.adoptedAt = at
    const since = this.given.filter(given => given.at > at).reduce((sum, given) => sum + given.units, 0)
    this.level = Math.min(this.most, part * this.most + (now - at) * this.ratePerMs) - since
    this.filledAt = now
  }

  /** What is left, as a part of the bucket; below 0 for a debt. */
  get left (): number {
    return this.level / this.most
  }

  private remember (units: number, now: number): void {
    const last = this.given.at(-1)
    if (last !== undefined && now - last.at < GIVEN_TOGETHER_MS) last.units += units
    else this.given.push({ at: now, units })
    while (this.given.length > 0 && now - this.given[0]!.at > GIVEN_MEMORY_MS) this.given.shift()
  }

  private get most (): number {
    const { part, units } = this.tolerance
    return (this.organisation.burst * (1 + GIVEN_PART * part) + GIVEN_PART * units) * this.share
  }

  private get ratePerMs (): number {
    return this.organisation.ratePerS * (1 + GIVEN_PART * this.tolerance.part) * this.share / SECOND_MS
  }

  private fill (now: number): void {
    const passedMs = Math.max(0, now - this.filledAt)
    this.level = Math.min(this.most, this.level + passedMs * this.ratePerMs)
    this.filledAt = now
  }
}
