import { z } from 'zod'
import { duration } from './duration.js'

/** The number of the tier that is served first and refused last. */
export const TOP_TIER = 1

/** The number of the lowest tier. */
export const LOWEST_TIER = 4

export const classSchema = z.strictObject({
  /** 1 is served first and refused last. */
  tier: z.number().int().min(1).max(LOWEST_TIER),
  /** The model that serves the class. */
  model: z.string().min(1),
  /** How soon the first token must arrive. */
  start_within: duration,
  /** How soon the last token must arrive. */
  finish_within: duration,
  /** Among classes of one tier, those with a higher number yield first. */
  yields: z.number().int().min(0).max(9).default(0)
})

/** A class of work with its targets, as operators state it. */
export interface WorkClass {
  readonly name: string
  /** 1 is the highest tier. */
  readonly tier: number
  readonly model: string
  readonly startWithinMs: number
  readonly finishWithinMs: number
  /** Among classes of one tier, those with a higher number yield first. */
  readonly yields: number
}

/**
 * @param name - the class's name
 * @param stated - what the document states of it
 * @returns the class
 */
export function toClass (name: string, stated: z.output<typeof classSchema>): WorkClass {
  return {
    name,
    tier: stated.tier,
    model: stated.model,
    startWithinMs: stated.start_within,
    finishWithinMs: stated.finish_within,
    yields: stated.yields
  }
}
