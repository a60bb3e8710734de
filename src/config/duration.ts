import { z } from 'zod'
import { HOUR_MS, MINUTE_MS, SECOND_MS } from '../base/index.js'

const UNIT_MS = { ms: 1, s: SECOND_MS, m: MINUTE_MS, h: HOUR_MS } as const

/**
 * Reads a duration such as "630ms", "2s" or "5m".
 *
 * @param text - a number and its unit: ms, s, m or h
 * @returns milliseconds, or undefined if the text is no duration
 */
export function parseDuration (text: string): number | undefined {
  const match = /^(\d+(?:\.\d+)?)(ms|s|m|h)$/.exec(text)
  if (match === null) return undefined
  return Number(match[1]) * UNIT_MS[match[2] as keyof typeof UNIT_MS]
}

/** A schema that takes a duration as text and gives milliseconds. */
export const duration = z.string().transform((text, context) => {
  const ms = parseDuration(text)
  if (ms !== undefined && ms > 0) return ms
  context.addIssue({ code: 'custom', message: 'expected a duration such as "630ms", "2s" or "5m"' })
  return z.NEVER
})
