import { z } from 'zod'
import { HOUR_MS, MINUTE_MS, SECOND_MS } from '../base/index.js'

const UNIT_MS = { ms: 1, s: SECOND_MS, m: MINUTE_MS, h: HOUR_MS } as const

/**
 * Parses a duration such as "630ms", "2s" or "5m".
 *
 * @param text - a decimal number directly followed by its unit: ms, s, m or h
 * @returns the duration in milliseconds, or undefined if the text is not a valid duration
 */
export function parseDuration (text: string): number | undefined {
  const match = /^(\d+(?:\.\d+)?)(ms|s|m|h)$/.exec(text)
  if (match === null) return undefined
  return Number(match[1]) * UNIT_MS[match[2] as keyof typeof UNIT_MS]
}

/** Schema of a positive duration: parses text such as "5m" to milliseconds. */
export const durationSchema = z.string().transform((text, context) => {
  const ms = parseDuration(text)
  if (ms !== undefined && ms > 0) return ms
  context.addIssue({ code: 'custom', message: 'expected a duration such as "630ms", "2s" or "5m"' })
  return z.NEVER
})
