import type Logger from 'bunyan'
import type { Clock } from '../base/index.js'
import { Gossip, type Member } from '../dispatch/index.js'
import { Fleet } from '../fleet/index.js'
import type { Deployment } from '../routing/index.js'
import { CHANGES_PAUSE_MS, Follower, Replica, type Row } from '../store/index.js'
import { Membership } from './membership.js'
import type { Platform } from './platform.js'

/** Pause after changes of members, in milliseconds: all hosts hear each start and stop, and links tell sooner. */
const MEMBERS_PAUSE_MS = 1_000

/** Is told when what a directory knows has changed. */
export interface DirectoryWatcher {
  deploymentChanged (deployment: Deployment): void
  serversChanged (): void
  membersChanged (): void

  /**
   * @param row - a row of the operators' table that holds no deployment
   * @returns whether it is an order whose reports are to be followed
   */
  operatorOrdered (row: Row): boolean

  /** @param row - what was reported to the operators */
  reportChanged (row: Row): void

  /** @param storeMs - the store's clock, in milliseconds */
  storeClockRead (storeMs: number): void
}

/** What this host knows of deployment, backend servers and other hosts, from the store and from other hosts. */
export class Directory {
  readonly fleet = new Fleet()
  readonly membership: Membership
  readonly gossip: Gossip
  private readonly replicas: readonly Replica[]
  private readonly reports: Replica
  private readonly followers = new Map<string, Follower>()
  private isFollowing = false
  private followsReports = false
  private known: Deployment | undefined
  private hadServers = false

  /**
   * @param platform - the store, and what its rows mean
   * @param self - this host among the members
   * @param watcher - is told of changes
   * @param clock - steady time
   * @param log - told of changes, and when the store is lost and regained
   */
  constructor (
    private readonly platform: Platform,
    self: Member,
    private readonly watcher: DirectoryWatcher,
    private readonly clock: Clock,
    private readonly log: Logger
  ) {
    const { tables } = platform
    this.membership = new Membership(platform.store, tables.members, self, clock, log)
    this.replicas = [
      new Replica(tables.operator, row => this.operatorRow(row)),
      new Replica(tables.servers, row => this.serverRow(row)),
      new Replica(tables.members, row => this.memberRow(row))
    ]
    this.reports = new Replica(tables.reports, row => {
      this.watcher.reportChanged(row)
      return true
    })
    this.gossip = new Gossip([...this.replicas, this.reports], clock, tables => this.lagged(tables))
  }

  /** The newest deployment, or undefined if none is known yet. */
  get deployment (): Deployment | undefined {
    return this.known
  }

  /** Whether enough is known to serve requests. */
  get isReady (): boolean {
    return this.known !== undefined && this.hadServers
  }

  /** Starts to follow the store, and tells the other hosts of this one. */
  start (): void {
    this.isFollowing = true
    for (const replica of this.replicas) this.follow(replica)
    if (this.followsReports) this.follow(this.reports)
    void this.membership.join()
  }

  /** Stops following the store. */
  close (): void {
    this.isFollowing = false
    for (const follower of this.followers.values()) follower.close()
  }

  /** Another host knows what the store did not tell this one: the connections to it may be silent. */
  private lagged (tables: readonly string[]): void {
    this.log.warn({ event: 'lagging', tables }, 'lagging')
    for (const table of tables) this.followers.get(table)?.restart()
  }

  private follow (replica: Replica): void {
    const pauseMs = replica.table === this.platform.tables.members ? MEMBERS_PAUSE_MS : CHANGES_PAUSE_MS
    this.followers.set(replica.table, new Follower(this.platform.store, replica, {
      returned: () => this.storeReturned(replica),
      clockRead: storeMs => this.watcher.storeClockRead(storeMs)
    }, this.clock, this.log, pauseMs))
  }

  /** Reports are followed from the first order on, since each call to the store has its price. */
  private followReports (): void {
    if (this.followsReports) return
    this.followsReports = true
    if (this.isFollowing) this.follow(this.reports)
  }

  private storeReturned (replica: Replica): void {
    if (replica.table === this.platform.tables.servers) this.fleet.startOutageGrace(this.clock.now())
  }

  private operatorRow (row: Row): boolean {
    const deployment = this.platform.readDeployment(row)
    if (deployment === undefined) {
      if (this.watcher.operatorOrdered(row)) this.followReports()
      return true
    }
    if (deployment.revision <= (this.known?.revision ?? -1)) return true
    this.known = deployment
    this.log.info({ event: 'deployment', revision: deployment.revision }, 'deployment')
    this.watcher.deploymentChanged(deployment)
    return true
  }

  private serverRow (row: Row): boolean {
    const server = this.platform.readServer(row)
    this.hadServers ||= server !== undefined
    if (!this.fleet.apply({ id: row.key, revision: row.revision, server }, this.clock.now())) return false
    const { isDraining } = server ?? {}
    this.log.info({ event: 'server', server: row.key, isDraining, isGone: server === undefined }, 'server')
    this.watcher.serversChanged()
    return true
  }

  private memberRow (row: Row): boolean {
    this.membership.apply(row)
    this.watcher.membersChanged()
    return true
  }
}
