/** Milliseconds in one second. */
export const SECOND_MS = 1_000

/** Milliseconds in one minute. */
export const MINUTE_MS = 60 * SECOND_MS

/** Milliseconds in one hour. */
export const HOUR_MS = 60 * MINUTE_MS

/**
 * Waits. The timer does not keep the process running.
 *
 * @param ms - delay in milliseconds
 * @returns a promise that resolves after the delay
 */
export function sleep (ms: number): Promise<void> {
  return new Promise(resolve => { setTimeout(resolve, ms).unref() })
}
