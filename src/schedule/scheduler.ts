import type { BackendServer } from '../fleet/index.js'
import { type CrashObserver, NO_OBSERVER } from '../poison/index.js'
import type { HostShares } from './allowance/index.js'
import { UNKNOWN_BALANCE_SHARE } from './quota.js'
import { Quotas } from './quotas.js'
import type { ScheduleLimits } from './limits.js'
import { CrashMonitor } from './crashmonitor.js'
import { type Effect, Refusal } from './effect.js'
import { HopelessJobs } from './hopelessjobs.js'
import type { Job } from './job.js'
import type { ServerLoad } from './load.js'
import { ServerLoads } from './loads.js'
import { Migrations } from './migrations.js'
import type { Outcome } from './outcome.js'
import { ServiceStates } from './servicestates.js'
import { CRASH_RETRY_AFTER_MS, retryAfterMs } from './timeouts.js'

/**
 * Decides which server each job gets and when. Performs no input or output; the time is passed in. The state is kept
 * in memory only: when the scheduler changes, hosts send their jobs and quota balances to the next one.
 */
export class Scheduler {
  readonly loads: ServerLoads
  readonly migrations: Migrations
  readonly crashes: CrashMonitor
  readonly quotas: Quotas
  private readonly services: ServiceStates
  private readonly hopelessJobs: HopelessJobs
  private shares: HostShares = { connected: 1, settled: 1 }

  /**
   * @param limits - limits on its decisions
   * @param isFirstStart - whether the whole deployment starts for the first time, so that quotas begin full
   * @param crashObserver - is told of crashes of servers
   */
  constructor (limits: ScheduleLimits, isFirstStart = false, crashObserver: CrashObserver = NO_OBSERVER) {
    this.loads = new ServerLoads(limits.coldOvershoot)
    this.crashes = new CrashMonitor(crashObserver)
    this.services = new ServiceStates(limits.retries)
    this.hopelessJobs = new HopelessJobs(this.loads, this.crashes)
    this.migrations = new Migrations(limits.canaryExposure)
    this.quotas = new Quotas(limits.quotaOvershoot, isFirstStart ? 1 : UNKNOWN_BALANCE_SHARE)
  }

  /**
   * Sets the servers that may get requests. Jobs that run on other servers are no longer tracked, but are not
   * stopped.
   *
   * @param servers - all of them
   * @param now - monotonic time, in milliseconds
   */
  setServers (servers: readonly BackendServer[], now: number): void {
    this.loads.setServers(servers, now)
    this.crashes.setServers(servers)
  }

  /**
   * Sets the shares of slots, bounds, quotas and retry budgets that may be used here.
   *
   * @param shares - of all hosts, those that send their jobs to this scheduler
   * @param now - monotonic time, in milliseconds
   */
  setShares (shares: HostShares, now: number): void {
    if (shares.connected !== this.shares.connected) this.quotas.setShare(shares.connected, now)
    this.shares = shares
  }

  /**
   * Queues a job, or refuses it if its quota or retry budget is used up or its request crashes servers.
   *
   * @param job - the job
   * @param now - monotonic time, in milliseconds
   * @returns decisions on this job and perhaps on others
   */
  submit (job: Job, now: number): Effect[] {
    if (this.crashes.isPoison(job, now)) {
      return [{ kind: 'refuse', job: job.id, reason: Refusal.crashes, retryAfterMs: CRASH_RETRY_AFTER_MS }]
    }
    const state = this.services.get(job.service)
    if (job.isRetry && !state.retryBudget.take(this.shares.connected, now)) {
      return [this.refuse(job, Refusal.retryBudget, 0, now)]
    }
    if (!job.isCharged) {
      const waitMs = this.quotas.take(job.organisation, job.units, job.rank, now)
      if (waitMs > 0) return [{ kind: 'refuse', job: job.id, reason: Refusal.quota, retryAfterMs: waitMs }]
      state.retryBudget.recordFirstSend(now)
    }
    state.enqueue(job, this.quotas.weight(job.organisation))
    const effects = this.schedule(job.service, now)
    const isEvacuated = this.loads.isServiceEvacuated(job.service)
    return isEvacuated ? [...effects, ...this.refuseHopeless(job.service, now)] : effects
  }

  /**
   * Adopts a job that runs already, as hosts report it to a new scheduler.
   *
   * @param job - the job
   * @param server - id of the server that runs it
   * @param hasStarted - whether its first event arrived
   * @param now - monotonic time, in milliseconds
   */
  adoptRunningJob (job: Job, server: string, hasStarted: boolean, now: number): void {
    const load = this.loads.get(server)
    if (load === undefined) return
    load.addJob(job, now)
    this.migrations.recordGrant(job, load.server)
    this.crashes.recordGrant(job, load.server, now, hasStarted)
    if (hasStarted) load.running.get(job.id)!.firstEventAt = now
  }

  /**
   * Records the first event of a job.
   *
   * @param jobId - the job's id
   * @param server - id of the server that runs it
   * @param now - monotonic time, in milliseconds
   * @returns decisions on queued jobs
   */
  recordFirstEvent (jobId: string, server: string, now: number): Effect[] {
    this.crashes.recordFirstEvent(jobId, now)
    const load = this.loads.get(server)
    load?.recordFirstEvent(jobId, now)
    return load === undefined ? [] : this.schedule(load.server.service, now)
  }

  /**
   * Records the end of a job at its server.
   *
   * @param jobId - the job's id
   * @param server - id of the server that ran it
   * @param outcome - how the job ended
   * @param stepMs - mean gap between its events or length of the call, if known; in milliseconds
   * @param now - monotonic time, in milliseconds
   * @returns decisions on queued jobs
   */
  recordEnd (jobId: string, server: string, outcome: Outcome, stepMs: number | undefined, now: number): Effect[] {
    this.crashes.recordEnd(jobId, outcome, now)
    const load = this.loads.get(server)
    if (load === undefined) return []
    const run = load.running.get(jobId)
    if (run !== undefined) this.migrations.recordOutcome(load.server, run, outcome, stepMs, now)
    load.removeJob(jobId, outcome, stepMs, now)
    return this.schedule(load.server.service, now)
  }

  /**
   * Removes a job from its queue and refunds its quota units.
   *
   * @param jobId - the job's id
   * @param service - the job's service
   * @param now - monotonic time, in milliseconds
   */
  withdraw (jobId: string, service: string, now: number): void {
    const job = this.services.find(service)?.drop(jobId)
    if (job?.isCharged === false) this.quotas.refund(job.organisation, job.units, now)
  }

  /**
   * Drops running and queued jobs, as when a host disconnects.
   *
   * @param isGone - whether to drop the job with an id
   */
  dropJobs (isGone: (id: string) => boolean): void {
    this.loads.dropJobs(isGone)
    this.crashes.dropJobs(isGone)
    this.services.dropJobs(isGone)
  }

  /**
   * Schedules the queued jobs of all services again, and refuses those that have waited too long.
   *
   * @param now - monotonic time, in milliseconds
   * @returns decisions on queued jobs
   */
  tick (now: number): Effect[] {
    return this.services.names.flatMap(service => [
      ...this.refuseHopeless(service, now), ...this.schedule(service, now)
    ])
  }

  /** Number of queued jobs of all services. */
  get queueLength (): number {
    return this.services.queueLength
  }

  /**
   * @param now - monotonic time, in milliseconds
   * @returns the state, for a dump
   */
  dump (now: number): unknown {
    return {
      part: this.shares.connected,
      settledShare: this.shares.settled,
      crashes: this.crashes.evidence(0),
      moves: this.migrations.dump(),
      waiting: this.services.dump(),
      servers: this.loads.dump(this.shares, now)
    }
  }

  /** Grants free slots in queue order. */
  private schedule (service: string, now: number): Effect[] {
    this.crashes.detectLosses(now)
    const state = this.services.find(service)
    if (state === undefined || state.queue.size === 0) return []
    const effects = state.hasNewCrashes(this.crashes.revision) ? this.refuseHopeless(service, now) : []
    const loads = this.loads.forService(service)
    let available = loads.filter(load => load.freeSlots(this.shares, now) > 0)
    if (available.length === 0) return effects
    this.migrations.getLatest(service, now)
    const granted: Job[] = []
    for (const job of state.inOrder(now)) {
      const load = this.crashes.mustWait(job) ? undefined : this.migrations.chooseServer(loads, available, job, now)
      if (load === undefined) continue
      effects.push(this.grant(load, job, now))
      granted.push(job)
      available = available.filter(each => each !== load || each.freeSlots(this.shares, now) > 0)
      if (available.length === 0) break
    }
    for (const job of granted) state.recordGrant(job, now)
    return effects
  }

  private grant (load: ServerLoad, job: Job, now: number): Effect {
    load.grant(job, now)
    this.migrations.recordGrant(job, load.server)
    this.crashes.recordGrant(job, load.server, now)
    const level = this.quotas.balanceShare(job.organisation)
    return { kind: 'grant', job: job.id, server: load.server.id, ...(level === undefined ? {} : { level }) }
  }

  /** Refuses the queued jobs of a service that should not wait any longer. */
  private refuseHopeless (service: string, now: number): Effect[] {
    const state = this.services.get(service)
    return this.hopelessJobs.list(state, service, now).map(job => {
      state.drop(job.id)
      if (this.crashes.isPoison(job, now)) return this.refuse(job, Refusal.crashes, CRASH_RETRY_AFTER_MS, now)
      state.grantRates.recordResult(job.rank, false, now)
      return this.refuse(job, this.loads.refusal(service), retryAfterMs(job, now), now)
    })
  }

  private refuse (job: Job, reason: Refusal, delayMs: number, now: number): Effect {
    if (!job.isCharged) this.quotas.refund(job.organisation, job.units, now)
    return { kind: 'refuse', job: job.id, reason, retryAfterMs: delayMs }
  }
}
