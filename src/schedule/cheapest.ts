import type { Job } from './job.js'
import type { ServerLoad } from './load.js'

/**
 * Chooses the server with the lowest cost for a job.
 *
 * @param loads - servers of the job's service with a free slot
 * @param job - a queued job
 * @param now - monotonic time, in milliseconds
 * @returns the server, or undefined if the job should wait
 */
export function chooseCheapest (loads: readonly ServerLoad[], job: Job, now: number): ServerLoad | undefined {
  let best: ServerLoad | undefined
  let lowestMs = Infinity
  for (const load of loads) {
    if (job.excludedServers.includes(load.server.id)) continue
    if (load.wouldDelayStreams(job, now) || load.wouldMissDeadline(job, now)) continue
    const costMs = load.costMs(job, now)
    if (costMs >= lowestMs) continue
    best = load
    lowestMs = costMs
  }
  return best
}
