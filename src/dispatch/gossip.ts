import { create } from '@bufbuild/protobuf'
import type { Clock } from '../base/index.js'
import type { Replica, Row } from '../store/index.js'
import {
  type Behind, BehindSchema, type News, NewsSchema, type Standing, StandingSchema
} from './dispatch_pb.js'

/** Being behind another host is borne this long, in milliseconds, since the store usually tells all within it. */
const BORNE_LAG_MS = 500

/** Who was heard to be ahead, and how to ask. */
interface Ahead {
  readonly since: number
  readonly standing: Standing
  readonly ask: (behind: Behind) => void
}

/** Lets hosts that the store turns away, or whose connections to it went silent, catch up from other hosts. */
export class Gossip {
  private ahead: Ahead | undefined

  /**
   * @param replicas - the followed tables, in an order that all hosts share
   * @param clock - steady time
   * @param onLag - told in which tables this host lags behind another, so that the store is asked anew
   */
  constructor (
    private readonly replicas: readonly Replica[],
    private readonly clock: Clock,
    private readonly onLag: (tables: readonly string[]) => void
  ) {}

  /** @returns what this host knows */
  standing (): Standing {
    return create(StandingSchema, { revisions: this.replicas.map(replica => replica.newest) })
  }

  /**
   * Compares what another host knows.
   *
   * @param standing - the other's
   * @param ask - sends it a frame
   */
  heard (standing: Standing | undefined, ask: Ahead['ask']): void {
    if (standing === undefined || !this.lacks(standing)) return
    this.ahead = { since: this.ahead?.since ?? this.clock.now(), standing, ask }
  }

  /**
   * @param behind - what another host has
   * @returns the rows that it lacks
   */
  answer (behind: Behind): News {
    const rows = this.replicas.flatMap((replica, at) => replica.after(behind.standing?.revisions[at] ?? 0))
    return create(NewsSchema, {
      rows: rows.map(({ table, key, value, revision }) => {
        return { table, key, value: value ?? new Uint8Array(), removed: value === undefined, revision }
      })
    })
  }

  /**
   * Takes rows of another host.
   *
   * @param news - the rows
   */
  take (news: News): void {
    const now = this.clock.now()
    for (const { table, key, value, removed, revision } of news.rows) {
      const row: Row = { table, key, value: removed ? undefined : Buffer.from(value), revision }
      this.replicas.find(replica => replica.table === table)?.apply(row, now)
    }
  }

  /** Asks for what this host lacks, once the store had its time to tell it. */
  tick (): void {
    const { ahead } = this
    if (ahead === undefined) return
    if (!this.lacks(ahead.standing)) this.ahead = undefined
    else if (this.clock.now() - ahead.since >= BORNE_LAG_MS) {
      this.ahead = undefined
      ahead.ask(create(BehindSchema, { standing: this.standing() }))
      this.onLag(this.lacking(ahead.standing).map(replica => replica.table))
    }
  }

  private lacks (standing: Standing): boolean {
    return this.lacking(standing).length > 0
  }

  private lacking (standing: Standing): Replica[] {
    return this.replicas.filter((replica, at) => (standing.revisions[at] ?? 0) > replica.newest)
  }
}
