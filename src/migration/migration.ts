import { CanaryAnalysis, type Observation } from './analysis.js'
import { CanaryExposure, type ExposureLimits } from './exposure.js'
import type { MigrationOrder } from './order.js'
import { MigrationStage } from './stage.js'

/**
 * Time before the migration is due, in milliseconds, from which on a job goes to the canary if a stable server would
 * finish it only after the stable servers may be stopped.
 */
const SWITCH_WINDOW_MS = 2_000

/** Time reserved for writing the report to the store, in milliseconds; a write usually takes a fraction of it. */
const REPORT_MARGIN_MS = 400

/**
 * Time after a completed migration in which servers of other versions get no requests, in milliseconds. Stopped servers
 * have left the server list by then, and a server that runs a third version later is not part of this migration.
 */
const SHUTDOWN_PERIOD_MS = 10_000

/** Number of healthy responses that the canary needs before all requests go to it. */
const MIN_HEALTHY_RESPONSES = 5

/** The two groups of servers during a migration: those with the version to migrate to, and all others. */
export const Side = { canary: 'canary', stable: 'stable' } as const

/** One of the values of {@link Side}. */
export type Side = typeof Side[keyof typeof Side]

/**
 * Migration of a service to another version. The canary gets a small share of each route's requests until shortly
 * before the migration is due. The migration then completes if the canary has proved healthy. It is rolled back as soon
 * as the canary proves worse than the stable versions.
 */
export class Migration {
  stage: MigrationStage = MigrationStage.running
  private readonly exposure: CanaryExposure
  private readonly analysis = new CanaryAnalysis()
  /** Number of jobs that each server of the canary got. */
  private readonly grantsByCanary = new Map<string, number>()

  /**
   * @param order - the operator's order
   * @param limits - how many requests a faulty canary may get
   * @param dueAt - when the migration is due, in milliseconds of monotonic time
   */
  constructor (readonly order: MigrationOrder, limits: ExposureLimits, public dueAt: number) {
    // The canary gets all requests between the decision and the time at which the migration is due.
    this.exposure = new CanaryExposure(limits, REPORT_MARGIN_MS / order.durationMs)
  }

  /**
   * When the migration is completed or rolled back at the latest, in milliseconds of monotonic time. If it completes,
   * the stable servers may be stopped from then on.
   */
  get decisionAt (): number {
    return this.dueAt - REPORT_MARGIN_MS
  }

  /**
   * Chooses between canary and stable servers for a job.
   *
   * @param route - name of the job's route
   * @param endsAt - when a stable server would finish the job, in milliseconds of monotonic time
   * @param now - monotonic time, in milliseconds
   * @returns the sides that the job may be sent to, in order of preference
   */
  eligibleSides (route: string, endsAt: number, now: number): readonly Side[] {
    if (this.stage === MigrationStage.completed) return [Side.canary]
    if (this.stage === MigrationStage.rolledBack) return [Side.stable]
    if (!this.exposure.hasBudget) return [Side.stable]
    const isSwitchDue = now >= this.dueAt - SWITCH_WINDOW_MS && endsAt > this.decisionAt && this.hasProvedHealthy
    return isSwitchDue || this.exposure.isCanaryDue(route) ? [Side.canary, Side.stable] : [Side.stable]
  }

  /**
   * @param now - monotonic time, in milliseconds
   * @returns whether the migration completed so long ago that it no longer restricts where jobs go
   */
  isExpired (now: number): boolean {
    return this.stage === MigrationStage.completed && now > this.dueAt + SHUTDOWN_PERIOD_MS
  }

  /**
   * Counts a job that is sent to a server.
   *
   * @param route - name of the job's route
   * @param side - the side that the server belongs to
   * @param server - id of the server
   */
  recordGrant (route: string, side: Side, server: string): void {
    this.exposure.record(route, side === Side.canary)
    if (side === Side.canary) this.grantsByCanary.set(server, this.grantsOf(server) + 1)
  }

  /**
   * @param servers - ids of servers that run the version to migrate to
   * @returns those that got the fewest jobs, to which the next one goes so that all of them are compared; all of them
   *   once the migration has ended
   */
  leastUsed (servers: readonly string[]): readonly string[] {
    if (this.stage !== MigrationStage.running) return servers
    const fewest = Math.min(...servers.map(server => this.grantsOf(server)))
    return servers.filter(server => this.grantsOf(server) === fewest)
  }

  /**
   * Records the outcome of a job, and rolls the migration back if the canary proves worse than the stable versions.
   *
   * @param observation - the outcome
   * @param now - monotonic time, in milliseconds
   */
  recordOutcome (observation: Observation, now: number): void {
    if (this.stage !== MigrationStage.running) return
    this.analysis.record(observation, now)
    if (this.analysis.isCanaryWorse) this.stage = MigrationStage.rolledBack
  }

  /**
   * Completes the migration or rolls it back once `decisionAt` is reached.
   *
   * @param now - monotonic time, in milliseconds
   */
  tick (now: number): void {
    if (this.stage !== MigrationStage.running || now < this.decisionAt) return
    this.stage = this.hasProvedHealthy ? MigrationStage.completed : MigrationStage.rolledBack
  }

  /** Why the migration would be rolled back; undefined if the canary has proved healthy. */
  get doubt (): string | undefined {
    if (this.analysis.isCanaryWorse) return 'worse'
    if (this.analysis.healthyResponses < MIN_HEALTHY_RESPONSES) return 'too-few-responses'
    return this.analysis.isSlowRuledOut(this.grantsByCanary.size) ? undefined : 'speed-in-doubt'
  }

  private get hasProvedHealthy (): boolean {
    return this.doubt === undefined
  }

  private grantsOf (server: string): number {
    return this.grantsByCanary.get(server) ?? 0
  }
}
