import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'

/** One stored row, in the platform's wire format. */
export interface StoredRow {
  table: string
  part: string
  key: string
  value?: string
  row_version: number
  tombstone?: boolean
}

/** Faults that the store simulates. */
export const StoreFault = {
  /** Answers each call with status 503 and does not execute it. */
  busy: 'busy',
  /** Neither executes nor answers calls. */
  silent: 'silent',
  /** Resets the connection of each call. */
  reset: 'reset',
  /** Executes transactions, but closes their connection before the response. */
  lost: 'lost'
} as const

/** One of the values of {@link StoreFault}. */
export type StoreFault = typeof StoreFault[keyof typeof StoreFault]

/** A feed call that is answered once its table changes. */
interface PendingFeed {
  readonly table: string
  readonly after: number
  readonly response: ServerResponse
}

/** A copy of the store, to which it can return. */
export interface StoreCopy {
  readonly rows: ReadonlyMap<string, StoredRow>
  readonly history: readonly StoredRow[]
  readonly version: number
}

interface TransactionRequest {
  expected_revision?: StoredRow[]
  writes?: StoredRow[]
  delete?: StoredRow[]
}

/** In-memory stand-in for the platform's row store, with transactions and the change feed. */
export class RowsStandin {
  fault: StoreFault | undefined
  /** Tables whose calls are neither executed nor answered. */
  readonly silentTables = new Set<string>()
  /** Number of calls received, by path. */
  readonly callCounts = new Map<string, number>()
  private readonly rows = new Map<string, StoredRow>()
  /** Changes since the last compaction, oldest first. */
  private history: StoredRow[] = []
  /** Version up to which the history has been discarded. */
  private compactedUpTo = 0
  private version = 0
  /** Rises each time the store returns from a copy; sent in all responses. */
  private era = 1
  private pendingFeeds: PendingFeed[] = []
  private readonly server: Server

  private constructor () {
    this.server = createServer((request, response) => { void this.handle(request, response) })
  }

  /** Starts a store on a free loopback port. */
  static async start (): Promise<RowsStandin> {
    const standin = new RowsStandin()
    await new Promise<void>(resolve => { standin.server.listen(0, '127.0.0.1', resolve) })
    return standin
  }

  /** IP address and port, separated by a colon. */
  get address (): string {
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`
  }

  /**
   * Writes or deletes a row directly, in place of the operator or a server.
   *
   * @param table - table of the row
   * @param key - key of the row
   * @param value - stored as JSON; undefined deletes the row
   */
  put (table: string, key: string, value: unknown): void {
    this.putText(table, key, value === undefined ? undefined : JSON.stringify(value))
  }

  /** Writes a row whose value is any text, or removes it if the value is undefined. */
  putText (table: string, key: string, value: string | undefined): void {
    const text = value === undefined ? undefined : Buffer.from(value).toString('base64')
    this.version++
    this.applyChange({ table, part: '', key, ...(text === undefined ? {} : { value: text }), row_version: this.version })
  }

  /** @returns the parsed JSON value of a row, or undefined if there is none */
  read (table: string, key: string): unknown {
    const value = this.rows.get(`${table}/${key}`)?.value
    return value === undefined ? undefined : JSON.parse(Buffer.from(value, 'base64').toString())
  }

  /** @returns the version of a row, 0 if there is none */
  versionOf (table: string, key: string): number {
    return this.rows.get(`${table}/${key}`)?.row_version ?? 0
  }

  /** Discards the history of changes; feed calls that start before this point are answered with status 410. */
  compact (): void {
    this.history = []
    this.compactedUpTo = this.version
  }

  /** Number of feed calls that wait for changes. */
  get pendingFeedCount (): number {
    return this.pendingFeeds.length
  }

  /** Closes the connections of all waiting feed calls, as an outage does. */
  closePendingFeeds (): void {
    for (const { response } of this.pendingFeeds.splice(0)) response.destroy()
  }

  /**
   * Returns from a copy of an earlier time: writes since then are lost, and their versions are given out again.
   *
   * @param copy - the copy, from {@link takeCopy}
   */
  restore (copy: StoreCopy): void {
    this.closePendingFeeds()
    this.rows.clear()
    for (const [key, row] of copy.rows) this.rows.set(key, row)
    this.history = [...copy.history]
    this.version = copy.version
    this.era++
  }

  /** @returns a copy of all rows and the history */
  takeCopy (): StoreCopy {
    return { rows: new Map(this.rows), history: [...this.history], version: this.version }
  }

  /** Never answers the waiting feed calls, and leaves their connections open, as connections do that fall silent. */
  dropPendingFeeds (): void {
    this.pendingFeeds = []
  }

  /** Stops listening and closes all connections. */
  close (): void {
    this.server.close()
    this.server.closeAllConnections()
  }

  /** Stores or deletes a row, records the change and answers the feed calls that wait for its table. */
  private applyChange (row: StoredRow): void {
    const stored = row.value === undefined ? { ...row, tombstone: true } : row
    if (row.value === undefined) this.rows.delete(`${row.table}/${row.key}`)
    else this.rows.set(`${row.table}/${row.key}`, row)
    this.history.push(stored)
    const readyFeeds = this.pendingFeeds.filter(feed => feed.table === row.table)
    this.pendingFeeds = this.pendingFeeds.filter(feed => feed.table !== row.table)
    for (const { table, after, response } of readyFeeds) this.sendFeed(response, table, after)
  }

  private async handle (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const url = new URL(request.url ?? '/', 'http://store')
    this.callCounts.set(url.pathname, (this.callCounts.get(url.pathname) ?? 0) + 1)
    const chunks: Buffer[] = []
    for await (const chunk of request) chunks.push(chunk as Buffer)
    if (this.fault === StoreFault.busy) this.sendReply(response, 503, {})
    else if (this.fault === StoreFault.reset) request.socket.resetAndDestroy()
    else if (this.fault !== StoreFault.silent) this.route(url, Buffer.concat(chunks), response)
  }

  private route (url: URL, body: Buffer, response: ServerResponse): void {
    const table = url.searchParams.get('table') ?? ''
    if (this.silentTables.has(table)) return
    if (url.pathname.endsWith('/rows-get')) {
      const rows = [...this.rows.values()].filter(row => row.table === table)
      this.sendReply(response, 200, { rows, truncated: false })
    } else if (url.pathname.endsWith('/rows-feed')) {
      this.sendFeed(response, table, Number(url.searchParams.get('after')), Number(url.searchParams.get('wait_ms')))
    } else {
      this.applyTransaction(JSON.parse(body.toString()) as TransactionRequest, response)
    }
  }

  /** Answers a feed call, or defers it by at most `waitMs` milliseconds if there are no changes yet. */
  private sendFeed (response: ServerResponse, table: string, after: number, waitMs = 0): void {
    if (after < this.compactedUpTo || after > this.version) {
      this.sendReply(response, 410, {})
      return
    }
    const rows = this.history.filter(row => row.table === table && row.row_version > after)
    if (rows.length > 0 || waitMs === 0) {
      this.sendReply(response, 200, { rows })
      return
    }
    const pending = { table, after, response }
    this.pendingFeeds.push(pending)
    setTimeout(() => {
      const index = this.pendingFeeds.indexOf(pending)
      if (index === -1) return
      this.pendingFeeds.splice(index, 1)
      this.sendReply(response, 200, { rows: [] })
    }, waitMs).unref()
  }

  /** Applies all writes and deletions under one new version, or none if an expected version differs. */
  private applyTransaction (transaction: TransactionRequest, response: ServerResponse): void {
    if (transaction.writes?.some(row => this.silentTables.has(row.table)) === true) return
    const expected = transaction.expected_revision ?? []
    const hasConflict = expected.some(row =>
      (this.rows.get(`${row.table}/${row.key}`)?.row_version ?? 0) !== row.row_version)
    if (hasConflict) {
      this.sendReply(response, 412, { rows: [] })
      return
    }
    this.version++
    for (const row of transaction.writes ?? []) this.applyChange({ ...row, row_version: this.version })
    for (
      const { table, part, key } of transaction.delete ?? []
    ) this.applyChange({ table, part, key, row_version: this.version })
    if (this.fault === StoreFault.lost) response.destroy()
    else this.sendReply(response, 200, {})
  }

  private sendReply (response: ServerResponse, status: number, body: object): void {
    response.writeHead(status, { 'content-type': 'application/json', 'store-era': String(this.era) })
    response.end(JSON.stringify({ ...body, row_version: this.version, now_ms: Math.round(performance.now()) }))
  }
}
