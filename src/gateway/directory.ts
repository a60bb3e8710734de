import type Logger from 'bunyan'
import { type Clock, runSafely } from '../base/index.js'
import { Gossip, type Member } from '../dispatch/index.js'
import { Fleet } from '../fleet/index.js'
import type { Deployment } from '../routing/index.js'
import { CHANGES_PAUSE_MS, Follower, Replica, type Row } from '../store/index.js'
import type { DirectoryObserver } from './directoryobserver.js'
import { Followers } from './followers.js'
import { Membership } from './membership.js'
import type { Platform } from './platform.js'

/**
 * Pause after changes of members, in milliseconds. Longer than for other tables: each start and stop of a host
 * causes calls to the store by all hosts, and the links between hosts reveal it sooner.
 */
const MEMBERS_PAUSE_MS = 1_000

/** The deployment, the backend servers and the members as this host knows them, from the store and by gossip. */
export class Directory {
  readonly fleet = new Fleet()
  readonly membership: Membership
  readonly gossip: Gossip
  private readonly replicas: readonly Replica[]
  private readonly members: Replica
  /** The reports' table; its rows are exchanged by gossip even if this host does not follow it. */
  private readonly reports: Replica
  private readonly followers = new Followers()
  private isFollowing = false
  /** Whether the reports' table is to be followed too. */
  private followsReports = false
  private latestDeployment: Deployment | undefined
  /** Whether a row of a usable server was ever read. */
  private hasReadServer = false

  /**
   * @param platform - the store, and the formats of its rows
   * @param self - this host's entry among the members
   * @param dataCentres - names of all data centres; empty if they are not known
   * @param observer - notified of changes
   * @param clock - monotonic time
   * @param log - logs changes, and when the store becomes unavailable and available again
   */
  constructor (
    private readonly platform: Platform,
    self: Member,
    private readonly dataCentres: readonly string[],
    private readonly observer: DirectoryObserver,
    private readonly clock: Clock,
    private readonly log: Logger
  ) {
    const { tables } = platform
    this.membership = new Membership(platform.store, tables.members, self, clock, log)
    this.members = this.replicate(tables.members, row => this.applyMemberRow(row))
    this.replicas = [
      this.replicate(tables.operator, row => this.applyOperatorRow(row)),
      this.replicate(tables.servers, row => this.applyServerRow(row)),
      this.members
    ]
    this.reports = this.replicate(tables.reports, row => {
      this.observer.reportChanged(row)
      return true
    })
    this.gossip = new Gossip([...this.replicas, this.reports], clock, tables => this.restartFollowers(tables),
      () => this.storeAgeMs, {
        read: () => this.fleet.doubts(this.clock.now()),
        extend: doubts => this.fleet.extendDoubts(doubts, this.clock.now())
      })
  }

  /** The newest deployment, or undefined if none is known yet. */
  get deployment (): Deployment | undefined {
    return this.latestDeployment
  }

  /** Whether this host can serve requests: it knows a deployment, and has read a row of a usable server. */
  get isReady (): boolean {
    return this.latestDeployment !== undefined && this.hasReadServer
  }

  /** Time since the store last responded, in milliseconds; undefined if it never did. */
  private get storeAgeMs (): number | undefined {
    const { lastAnsweredAt } = this.followers
    return lastAnsweredAt === undefined ? undefined : this.clock.now() - lastAnsweredAt
  }

  /**
   * Selects short or long polls of the store.
   *
   * @param usesLongPolls - whether another host reveals changes that this host's polls miss
   */
  setLongPolls (usesLongPolls: boolean): void {
    this.followers.setLongPolls(usesLongPolls)
  }

  /**
   * Selects whether this host follows the store.
   *
   * @param isFed - whether another host sends all changes
   * @param isWaiting - whether another host may do so soon, so that only the members' table is followed
   * @returns whether this host has to be fed from its present state on
   */
  setFed (isFed: boolean, isWaiting: boolean): boolean {
    if (isFed || !isWaiting) this.followAll()
    if (isFed === this.gossip.isFed) return false
    this.gossip.isFed = isFed
    this.log.info({ event: 'store-following', isFed }, 'store-following')
    this.followers.setPaused(isFed)
    return isFed
  }

  /**
   * @param now - monotonic time, in milliseconds
   * @returns what this host knows, and its calls to the store by table, for diagnosis by operators
   */
  dump (now: number): Readonly<Record<string, unknown>> {
    return {
      deployment: this.latestDeployment?.revision,
      servers: this.fleet.listUsable(now),
      evacuated: [...this.fleet.evacuatedDataCentres(now)],
      members: this.membership.list(),
      isFed: this.gossip.isFed,
      tables: this.followers.dump(now)
    }
  }

  /**
   * Records that a host was told by a server that it leaves.
   *
   * @param id - id of the server
   * @param born - start time of the server
   */
  recordLeaving (id: string, born: number): void {
    if (this.fleet.recordLeaving(id, born)) {
      this.log.info({ event: 'server-leaving', server: id, source: 'host' }, 'server-leaving')
    }
    this.observer.serversChanged()
  }

  /** Starts to follow the store, and adds this host to the members. */
  start (): void {
    this.isFollowing = true
    this.follow(this.members)
    void this.membership.join()
  }

  /** Stops following the store. */
  close (): void {
    this.isFollowing = false
    this.followers.close()
  }

  /** Creates the local copy of a table. A row that can't be applied is logged, and the others hold. */
  private replicate (table: string, apply: (row: Row) => boolean): Replica {
    return new Replica(table, row => {
      const { key, revision } = row
      let isChange = true
      runSafely(this.log, { event: 'row-failed', table, key, revision }, () => { isChange = apply(row) })
      return isChange
    })
  }

  /** Restarts the followers of tables of which another host has newer rows, since their connections may be stalled. */
  private restartFollowers (tables: readonly string[]): void {
    this.log.warn({ event: 'lagging', tables }, 'lagging')
    this.followers.restart(tables)
  }

  private follow (replica: Replica): void {
    if (this.followers.has(replica.table)) return
    const isMembers = replica === this.members
    const follower = new Follower(this.platform.store, replica, {
      storeRecovered: () => this.storeRecovered(replica),
      storeClockRead: storeMs => this.observer.storeClockRead(storeMs),
      eraChanged: () => this.eraChanged(),
      tableListed: () => { if (isMembers) this.membership.restoreOwnRow() }
    }, this.clock, this.log, isMembers ? MEMBERS_PAUSE_MS : CHANGES_PAUSE_MS)
    this.followers.add(replica.table, follower)
  }

  /** Follows the tables that are not followed yet; to be called once the host is known to be fed or not. */
  private followAll (): void {
    for (const replica of this.replicas) this.follow(replica)
    if (this.followsReports) this.follow(this.reports)
  }

  /** Follows the reports' table once there is an order; until then, calls to the store for it would be wasted. */
  private followReports (): void {
    if (this.followsReports) return
    this.followsReports = true
    if (this.isFollowing) this.follow(this.reports)
  }

  /** Entries of servers that the copy lacks are written again within the same time as after an outage. */
  private eraChanged (): void {
    this.fleet.startEra(this.clock.now())
    this.followers.restart()
  }

  private storeRecovered (replica: Replica): void {
    if (replica.table === this.platform.tables.servers) this.fleet.startOutageGrace(this.clock.now())
  }

  /** @returns whether the row changed more than a heartbeat does; the same goes for rows of servers and members */
  private applyOperatorRow (row: Row): boolean {
    if (this.applyEvacuation(row)) return true
    const deployment = this.platform.readDeployment(row)
    if (deployment === undefined) {
      if (this.observer.orderChanged(row)) this.followReports()
      return true
    }
    if (deployment.revision <= (this.latestDeployment?.revision ?? -1)) return true
    this.latestDeployment = deployment
    this.log.info({ event: 'deployment', revision: deployment.revision }, 'deployment')
    this.observer.deploymentChanged(deployment)
    return true
  }

  /** @returns whether the row is an order to evacuate a data centre, or its end */
  private applyEvacuation (row: Row): boolean {
    const evacuation = this.platform.readEvacuation(row)
    if (evacuation === undefined) return false
    const { dataCentre } = evacuation
    if (!this.fleet.applyEvacuation(evacuation, this.clock.now())) return true
    const isKnown = this.dataCentres.length === 0 || this.dataCentres.includes(dataCentre)
    if (isKnown) this.log.info({ event: 'evacuation', ...evacuation }, 'evacuation')
    else this.log.warn({ event: 'evacuation-unknown', ...evacuation, known: this.dataCentres }, 'evacuation-unknown')
    this.observer.serversChanged()
    return true
  }

  private applyServerRow (row: Row): boolean {
    const server = this.platform.readServer(row)
    this.hasReadServer ||= server !== undefined
    if (!this.fleet.apply({ id: row.key, revision: row.revision, server }, this.clock.now())) return false
    const { isDraining, coldMs } = server ?? {}
    this.log.info({ event: 'server', server: row.key, isDraining, coldMs, isGone: server === undefined }, 'server')
    this.observer.serversChanged()
    return true
  }

  private applyMemberRow (row: Row): boolean {
    this.membership.apply(row)
    this.observer.membersChanged()
    return true
  }
}
