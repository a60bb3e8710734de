import { create, type MessageInitShape } from '@bufbuild/protobuf'
import type { Clock } from '../base/index.js'
import type { FleetDoubts } from '../fleet/index.js'
import type { Replica, Row } from '../store/index.js'
import { isAmount } from './amount.js'
import {
  type Behind, BehindSchema, type News, type NewsRowSchema, NewsSchema, type Pong, PongSchema, type Standing,
  StandingSchema
} from './dispatch_pb.js'

/**
 * How long this host may lag behind another one before it requests the missing rows, in milliseconds. The store
 * usually delivers all of them within this time.
 */
const LAG_GRACE_MS = 500

/** A host that has newer rows than this one. */
interface AheadHost {
  /** Since when this host has lagged behind, in milliseconds of monotonic time. */
  readonly since: number
  readonly versionVector: Standing
  readonly requestRows: (behind: Behind) => void
}

/** Reads and takes over how long entries of servers are in doubt. */
export interface DoubtKeeper {
  /** @returns what is left of both times */
  read (): FleetDoubts
  /** @param doubts - what is left of both times at another host; longer times of this host remain */
  extend (doubts: FleetDoubts): void
}

const NO_DOUBTS: DoubtKeeper = { read: () => ({ outageGraceMs: 0, copyDoubtMs: 0 }), extend: () => undefined }

/**
 * Exchanges missing rows of the store with other hosts, so that a host catches up even if the store refuses its calls
 * or its connections to the store are silent. Of the messages, `Standing` is the version vector of a host, `Behind` a
 * request for the rows that are newer than a version vector, and `News` holds such rows.
 */
export class Gossip {
  /** Whether this host relies on the feed of its scheduler and does not ask the store itself. */
  isFed = false
  private aheadHost: AheadHost | undefined

  /**
   * @param replicas - the local copies of the followed tables, in the same order on all hosts
   * @param clock - monotonic time
   * @param onLag - called with the tables in which this host lags behind another one, to query the store again
   * @param storeAgeMs - time since the store last responded to this host, in milliseconds; undefined if it never did
   * @param doubts - how long entries of servers are in doubt
   */
  constructor (
    private readonly replicas: readonly Replica[],
    private readonly clock: Clock,
    private readonly onLag: (tables: readonly string[]) => void,
    private readonly storeAgeMs: () => number | undefined = () => undefined,
    private readonly doubts: DoubtKeeper = NO_DOUBTS
  ) {}

  /** @returns the version vector of this host: the newest revision that it has of each table */
  versionVector (): Standing {
    return create(StandingSchema, { revisions: this.replicas.map(replica => replica.newestRevision) })
  }

  /** @returns the reply to a ping: the version vector, and how long ago the store responded to this host */
  pong (): Pong {
    const storeAgeMs = this.storeAgeMs()
    const age = storeAgeMs === undefined ? {} : { storeAgeMs: Math.round(storeAgeMs) }
    return create(PongSchema, { standing: this.versionVector(), ...age })
  }

  /**
   * Compares the version vector of another host with that of this one, and remembers the host if it has newer rows.
   *
   * @param versionVector - the version vector of the other host
   * @param requestRows - sends that host a request for missing rows
   */
  compare (versionVector: Standing | undefined, requestRows: AheadHost['requestRows']): void {
    if (versionVector === undefined || !this.isBehind(versionVector)) return
    this.aheadHost = { since: this.aheadHost?.since ?? this.clock.now(), versionVector, requestRows }
  }

  /**
   * @param behind - the request of another host, with its version vector
   * @returns the rows that the other host is missing
   */
  missingRows (behind: Behind): News {
    const rows = this.replicas.flatMap((replica, index) => replica.rowsAfter(behind.standing?.revisions[index] ?? 0))
    return create(NewsSchema, { rows: rows.map(encodeRow) })
  }

  /**
   * @param revisions - a version vector, up to which another host has all changes
   * @returns the changes since, apart from heartbeats
   */
  changesSince (revisions: readonly number[]): News {
    const rows = this.replicas.flatMap((replica, index) => replica.changesAfter(revisions[index] ?? 0))
    return create(NewsSchema, { rows: rows.map(encodeRow), standing: this.versionVector(), ...this.doubts.read() })
  }

  /**
   * Applies the rows that another host sent. Those of a feed are ignored while this host asks the store itself, so that
   * it notices when the store's responses lag behind.
   *
   * @param news - rows and removals of any of the followed tables
   */
  applyRows (news: News): void {
    if (news.standing !== undefined && !this.isFed) return
    const revisions = news.standing?.revisions ?? []
    if (![...revisions, news.outageGraceMs, news.copyDoubtMs].every(isAmount)) return
    const now = this.clock.now()
    this.doubts.extend(news)
    for (const { table, key, value, removed, revision } of news.rows) {
      const row: Row = { table, key, value: removed ? undefined : Buffer.from(value), revision }
      this.replicas.find(replica => replica.table === table)?.apply(row, now)
    }
    this.replicas.forEach((replica, index) => replica.advance(revisions[index] ?? 0))
  }

  /** Requests the missing rows if the store has not delivered them within {@link LAG_GRACE_MS}. */
  tick (): void {
    const { aheadHost } = this
    if (aheadHost === undefined) return
    if (!this.isBehind(aheadHost.versionVector)) this.aheadHost = undefined
    else if (this.clock.now() - aheadHost.since >= LAG_GRACE_MS) {
      this.aheadHost = undefined
      aheadHost.requestRows(create(BehindSchema, { standing: this.versionVector() }))
      this.onLag(this.laggingReplicas(aheadHost.versionVector).map(replica => replica.table))
    }
  }

  private isBehind (versionVector: Standing): boolean {
    return this.laggingReplicas(versionVector).length > 0
  }

  private laggingReplicas (versionVector: Standing): Replica[] {
    return this.replicas.filter((replica, index) => (versionVector.revisions[index] ?? 0) > replica.newestRevision)
  }
}

function encodeRow ({ table, key, value, revision }: Row): MessageInitShape<typeof NewsRowSchema> {
  return { table, key, value: value ?? new Uint8Array(), removed: value === undefined, revision }
}
