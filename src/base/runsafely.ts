import type Logger from 'bunyan'
import { toError } from './failure.js'

/**
 * Runs a step of which a failure must end neither the process nor the steps that follow, and logs the failure.
 *
 * @param log - receives an error record if the step fails
 * @param record - its event, and what the step is about
 * @param step - the step
 * @returns whether the step succeeded
 */
export function runSafely (
  log: Logger, record: Readonly<Record<string, unknown> & { event: string }>, step: () => void
): boolean {
  try {
    step()
    return true
  } catch (thrown) {
    log.error({ ...record, err: toError(thrown) }, record.event)
    return false
  }
}
