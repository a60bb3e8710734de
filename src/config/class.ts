import { z } from 'zod'
import { durationSchema } from './duration.js'

/** The highest tier: its requests are scheduled first and rejected last. */
export const HIGHEST_TIER = 1

/** The lowest tier: its requests are scheduled last and rejected first. */
export const LOWEST_TIER = 4

export const classSchema = z.strictObject({
  /** Scheduling tier; tier 1 is scheduled first and rejected last. */
  tier: z.number().int().min(1).max(LOWEST_TIER),
  /** Name of the model that runs the requests of this class. */
  model: z.string().min(1),
  /** Latency objective for the first token, measured from the arrival of the request. */
  start_within: durationSchema,
  /** Latency objective for the last token, measured from the arrival of the request. */
  finish_within: durationSchema,
  /** Preemption order within a tier: classes with a higher number are preempted first. */
  yields: z.number().int().min(0).max(9).default(0)
})

/** A class of requests with its latency objectives, as operators configure it. */
export interface WorkClass {
  readonly name: string
  /** Scheduling tier; 1 is the highest. */
  readonly tier: number
  readonly model: string
  readonly startWithinMs: number
  readonly finishWithinMs: number
  /** Preemption order within a tier: classes with a higher number are preempted first. */
  readonly yields: number
}

/**
 * Converts an entry of the configuration document.
 *
 * @param name - the name of the class
 * @param definition - its validated definition in the document
 * @returns the class, with durations in milliseconds
 */
export function toWorkClass (name: string, definition: z.output<typeof classSchema>): WorkClass {
  return {
    name,
    tier: definition.tier,
    model: definition.model,
    startWithinMs: definition.start_within,
    finishWithinMs: definition.finish_within,
    yields: definition.yields
  }
}
