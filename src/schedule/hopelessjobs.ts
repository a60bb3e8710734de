import type { CrashMonitor } from './crashmonitor.js'
import type { Job } from './job.js'
import type { ServerLoads } from './loads.js'
import type { ServiceState } from './servicestate.js'
import { queueTimeoutMs } from './timeouts.js'

/** Finds the queued jobs that should be refused rather than wait. */
export class HopelessJobs {
  /**
   * @param loads - the servers of all services
   * @param crashes - knows the requests that crash servers
   */
  constructor (private readonly loads: ServerLoads, private readonly crashes: CrashMonitor) {}

  /**
   * Lists the queued jobs whose queue timeout has passed, whose requests crash servers, or whose service has servers in
   * evacuated data centres only.
   *
   * @param state - the state of a service
   * @param service - name of the service
   * @param now - monotonic time, in milliseconds
   * @returns the jobs to refuse
   */
  list (state: ServiceState, service: string, now: number): Job[] {
    const jobs = state.queue.jobs()
    // Waiting would be in vain, since an order may last for long.
    if (this.loads.isServiceEvacuated(service)) return jobs
    return jobs.filter(job => now - job.arrivedAt >= queueTimeoutMs(job) || this.crashes.isPoison(job, now))
  }
}
