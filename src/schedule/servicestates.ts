import type { RetryLimits } from './retrybudget.js'
import { ServiceState } from './servicestate.js'

/** Scheduling states of all services that have had a job. */
export class ServiceStates {
  private readonly states = new Map<string, ServiceState>()

  /** @param limits - limits of each service's retry budget */
  constructor (private readonly limits: RetryLimits) {}

  /**
   * @param service - name of a service
   * @returns its state, or undefined if it has had no job
   */
  find (service: string): ServiceState | undefined {
    return this.states.get(service)
  }

  /**
   * @param service - name of a service
   * @returns its state, created if it has had no job
   */
  get (service: string): ServiceState {
    let state = this.states.get(service)
    if (state === undefined) {
      state = new ServiceState(this.limits)
      this.states.set(service, state)
    }
    return state
  }

  /** @param isGone - whether to remove the queued job with an id */
  dropJobs (isGone: (id: string) => boolean): void {
    for (const state of this.states.values()) {
      for (const job of state.queue.jobs()) if (isGone(job.id)) state.drop(job.id)
    }
  }

  /** Names of all services that have had a job. */
  get names (): string[] {
    return [...this.states.keys()]
  }

  /** Number of queued jobs of all services. */
  get queueLength (): number {
    let count = 0
    for (const { queue } of this.states.values()) count += queue.size
    return count
  }

  /** @returns the queue length of each service, for a dump */
  dump (): unknown {
    return [...this.states].map(([service, state]) => ({ service, jobs: state.queue.size }))
  }
}
