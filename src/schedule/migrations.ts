import type { BackendServer } from '../fleet/index.js'
import { type ExposureLimits, Migration, type MigrationOrder, MigrationStage, Side } from '../migration/index.js'
import type { Job } from './job.js'
import { chooseCheapest } from './cheapest.js'
import type { ServerLoad } from './load.js'
import type { RunningJob } from './runningjob.js'
import { Outcome } from './outcome.js'

/** Outcomes that count as failures of a server's version. */
const FAILURES: ReadonlySet<Outcome> = new Set([Outcome.failed, Outcome.broken, Outcome.silent])

/** Outcomes that all requests of a server have at once when the server is lost. */
const SERVER_LOSSES: ReadonlySet<Outcome> = new Set([Outcome.broken, Outcome.silent])

/** Outcomes that are no evidence about a server's version. */
const INCONCLUSIVE: ReadonlySet<Outcome> = new Set([
  Outcome.rejected, Outcome.misdirected, Outcome.unreachable, Outcome.unsendable, Outcome.cancelled
])

/** A job cancelled after this many latency objectives without an event counts as a failure of the server's version. */
const UNANSWERED_OBJECTIVES = 1.5

/** The latest version migration of each service, and the choice of servers under it. */
export class Migrations {
  private readonly migrations = new Map<string, Migration>()

  /** @param exposureLimits - how many requests a new version may get before it has proved healthy */
  constructor (private readonly exposureLimits: ExposureLimits) {}

  /**
   * Sets the latest migration of a service. A recorded end takes precedence over the local stage.
   *
   * @param order - the operators' order
   * @param stage - recorded stage of the migration
   * @param dueAt - when the migration is due, monotonic milliseconds
   */
  setLatest (order: MigrationOrder, stage: MigrationStage, dueAt: number): void {
    let migration = this.migrations.get(order.service)
    if (migration === undefined || migration.order.revision !== order.revision) {
      migration = new Migration(order, this.exposureLimits, dueAt)
      this.migrations.set(order.service, migration)
    }
    migration.dueAt = dueAt
    if (stage !== MigrationStage.running) migration.stage = stage
  }

  /**
   * Returns the latest migration of a service, ended if it is due.
   *
   * @param service - name of a service
   * @param now - monotonic time, in milliseconds
   * @returns the migration, or undefined if there is none
   */
  getLatest (service: string, now: number): Migration | undefined {
    const migration = this.migrations.get(service)
    migration?.tick(now)
    return migration
  }

  /**
   * Chooses a server for a job.
   *
   * @param all - the servers of the job's service
   * @param available - those with a free slot
   * @param job - a queued job
   * @param now - monotonic time, in milliseconds
   * @returns the server, or undefined if the job should wait
   */
  chooseServer (
    all: readonly ServerLoad[], available: readonly ServerLoad[], job: Job, now: number
  ): ServerLoad | undefined {
    const migration = this.migrations.get(job.service)
    if (migration === undefined || migration.isExpired(now)) return chooseCheapest(available, job, now)
    const stable = chooseCheapest(available.filter(load => sideOf(migration, load.server) === Side.stable), job, now)
    const sides = migration.eligibleSides(job.route, now + (stable?.expectedDurationMs(job) ?? 0), now)
    for (const side of sides) {
      const load = side === Side.stable
        ? stable
        : chooseCanary(migration, available.filter(each => sideOf(migration, each.server) === side), job, now)
      if (load !== undefined) return load
    }
    // If no server of the permitted sides exists, any server is better than none, except one of a version that failed.
    if (migration.stage === MigrationStage.rolledBack) return undefined
    return all.every(load => !sides.includes(sideOf(migration, load.server)))
      ? chooseCheapest(available, job, now)
      : undefined
  }

  /**
   * Counts a job that was granted a slot.
   *
   * @param job - the job
   * @param server - the server that runs it
   */
  recordGrant (job: Job, server: BackendServer): void {
    const migration = this.migrations.get(server.service)
    migration?.recordGrant(job.route, sideOf(migration, server), server.id)
  }

  /**
   * Records the outcome of a job as evidence about its server's version.
   *
   * @param server - the server that ran the job
   * @param run - the job and its times
   * @param outcome - how the job ended
   * @param stepMs - mean gap between its events or length of the call, if known; in milliseconds
   * @param now - monotonic time, in milliseconds
   */
  recordOutcome (
    server: BackendServer, run: RunningJob, outcome: Outcome, stepMs: number | undefined, now: number
  ): void {
    const migration = this.migrations.get(server.service)
    const { job, firstEventAt, grantedAt } = run
    const isUnanswered = outcome === Outcome.cancelled && firstEventAt === undefined &&
      now - grantedAt > UNANSWERED_OBJECTIVES * job.objectiveMs
    if (migration === undefined || (INCONCLUSIVE.has(outcome) && !isUnanswered)) return
    migration.recordOutcome({
      route: job.route,
      server: server.id,
      isCanary: sideOf(migration, server) === Side.canary,
      isFailure: isUnanswered || FAILURES.has(outcome),
      isConnectionLoss: SERVER_LOSSES.has(outcome),
      latencyMs: stepMs
    }, now)
  }

  /** @returns order and stage of each migration, for a dump */
  dump (): unknown {
    return [...this.migrations.values()].map(({ order, stage }) => ({ ...order, stage }))
  }
}

function sideOf (migration: Migration, server: BackendServer): Side {
  return server.version === migration.order.version ? Side.canary : Side.stable
}

/** Prefers the servers that got the fewest jobs: the cheapest one alone would show nothing of the others. */
function chooseCanary (
  migration: Migration, available: readonly ServerLoad[], job: Job, now: number
): ServerLoad | undefined {
  const leastUsed = migration.leastUsed(available.map(({ server }) => server.id))
  return chooseCheapest(available.filter(({ server }) => leastUsed.includes(server.id)), job, now) ??
    chooseCheapest(available, job, now)
}
