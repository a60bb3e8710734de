import type { Story } from './story.js'

/** What a set of stories came to, and what must not be. */
export interface Verdict {
  readonly requests: number
  readonly answeredFirst: number
  readonly answeredLater: number
  readonly notRun: number
  readonly unknown: number
  readonly broken: number
  /** Longest time from the first sending to the answer, in milliseconds. */
  readonly slowestMs: number
  /** What must not be, one line each. */
  readonly faults: readonly string[]
}

function faultsOf (story: Story, runs: number): string[] {
  const faults: string[] = []
  const name = `${story.kind} ${story.nonce}`
  if (story.tries.length === 0) faults.push(`${name}: no final answer`)
  if (story.tries.some(each => each.outcome === 'answered' && !each.isRight)) {
    faults.push(`${name}: answered with something else`)
  }
  return story.kind === 'read' ? faults : [...faults, ...runFaultsOf(story, name, runs)]
}

/** Faults of a request that may run once at most. */
function runFaultsOf (story: Story, name: string, runs: number): string[] {
  const last = story.tries.at(-1)
  const faults: string[] = []
  if (runs > 1) faults.push(`${name}: run ${runs} times`)
  // After the last attempt was told "not run", nothing may ever have run it.
  if (last?.outcome === 'not-run' && runs > 0) faults.push(`${name}: told "not run" (${last.reason}), but it was run`)
  if (last?.outcome === 'answered' && runs === 0) faults.push(`${name}: answered, but not run`)
  return faults
}

/**
 * Judges stories by what the stand-ins say they ran.
 *
 * @param stories - the requests with their attempts
 * @param runs - how often each request was run
 * @returns the verdict
 */
export function judge (stories: readonly Story[], runs: ReadonlyMap<string, number>): Verdict {
  const lasts = stories.map(story => story.tries.at(-1))
  const times = stories.filter(story => story.tries.at(-1)?.outcome === 'answered')
    .map(story => story.tries.at(-1)!.endedAt - story.tries[0]!.sentAt)
  return {
    requests: stories.length,
    answeredFirst: stories.filter(story => story.tries.length === 1 && story.tries[0]!.outcome === 'answered').length,
    answeredLater: stories.filter(story => story.tries.length > 1 && story.tries.at(-1)!.outcome === 'answered').length,
    notRun: lasts.filter(last => last?.outcome === 'not-run').length,
    unknown: lasts.filter(last => last?.outcome === 'unknown').length,
    broken: lasts.filter(last => last?.outcome === 'broken').length,
    slowestMs: Math.max(0, ...times),
    faults: stories.flatMap(story => faultsOf(story, runs.get(story.nonce) ?? 0))
  }
}
