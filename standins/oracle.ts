import type { RequestHistory } from './history.js'

/** Summary of a set of request histories, with the violations found in them. */
export interface CheckResult {
  readonly requests: number
  /** Requests answered by their first attempt. */
  readonly answeredByFirstAttempt: number
  /** Requests answered by a retry. */
  readonly answeredByRetry: number
  /** Requests whose last attempt was reported as not run. */
  readonly notRun: number
  /** Requests whose last attempt had an unknown outcome. */
  readonly unknown: number
  /** Requests whose last attempt lost its connection. */
  readonly broken: number
  /** Longest time from the first attempt to the answer, in milliseconds. */
  readonly slowestMs: number
  /** Violated guarantees, one line of text each. */
  readonly violations: readonly string[]
}

/** Lists the violated guarantees of one request. */
function violationsOf (history: RequestHistory, runCount: number): string[] {
  const violations: string[] = []
  const name = `${history.kind} ${history.nonce}`
  if (history.attempts.length === 0) violations.push(`${name}: no attempt was recorded`)
  if (history.attempts.some(each => each.outcome === 'answered' && !each.isCorrect)) {
    violations.push(`${name}: answered with an incomplete or foreign response`)
  }
  return history.kind === 'read' ? violations : [...violations, ...runViolationsOf(history, name, runCount)]
}

/** Lists the violations of a request that may be executed at most once. */
function runViolationsOf (history: RequestHistory, name: string, runCount: number): string[] {
  const lastAttempt = history.attempts.at(-1)
  const violations: string[] = []
  if (runCount > 1) violations.push(`${name}: executed ${runCount} times`)
  // If the last attempt was reported as not run, no attempt may have been executed.
  if (lastAttempt?.outcome === 'not-run' && runCount > 0) violations.push(`${name}: reported as not run (${lastAttempt.reason}), but executed`)
  if (lastAttempt?.outcome === 'answered' && runCount === 0) violations.push(`${name}: answered, but never executed`)
  return violations
}

/**
 * Checks request histories against the executions that the stand-ins counted.
 *
 * @param histories - the request histories
 * @param runCounts - number of executions by nonce
 * @returns counts by outcome, and the violations
 */
export function checkHistories (
  histories: readonly RequestHistory[], runCounts: ReadonlyMap<string, number>
): CheckResult {
  const lastAttempts = histories.map(history => history.attempts.at(-1))
  const answerTimesMs = histories.filter(history => history.attempts.at(-1)?.outcome === 'answered')
    .map(history => history.attempts.at(-1)!.endedAt - history.attempts[0]!.sentAt)
  return {
    requests: histories.length,
    answeredByFirstAttempt: histories.filter(history => history.attempts.length === 1 && history.attempts[0]!.outcome === 'answered').length,
    answeredByRetry: histories.filter(history => history.attempts.length > 1 && history.attempts.at(-1)!.outcome === 'answered').length,
    notRun: lastAttempts.filter(last => last?.outcome === 'not-run').length,
    unknown: lastAttempts.filter(last => last?.outcome === 'unknown').length,
    broken: lastAttempts.filter(last => last?.outcome === 'broken').length,
    slowestMs: Math.max(0, ...answerTimesMs),
    violations: histories.flatMap(history => violationsOf(history, runCounts.get(history.nonce) ?? 0))
  }
}
