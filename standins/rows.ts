import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'

/** One stored row, spelled as the platform spells it. */
interface StoredRow {
  table: string
  part: string
  key: string
  value?: string
  row_version: number
  tombstone?: boolean
}

/** How the store misbehaves. */
export const StoreFault = {
  /** Answers 503 and does nothing. */
  busy: 'busy',
  /** Answers nothing. */
  silent: 'silent',
  /** Resets the connection. */
  reset: 'reset',
  /** Does writes and loses their answers. */
  lost: 'lost'
} as const

/** One of the values of {@link StoreFault}. */
export type StoreFault = typeof StoreFault[keyof typeof StoreFault]

interface Waiting {
  readonly table: string
  readonly after: number
  readonly response: ServerResponse
}

interface Transaction {
  expected_revision?: StoredRow[]
  writes?: StoredRow[]
  delete?: StoredRow[]
}

/** A stand-in for the users' platform store: rows, transactions and the feed, in memory. */
export class RowsStandin {
  fault: StoreFault | undefined
  /** Calls that came, by path. */
  readonly calls = new Map<string, number>()
  private readonly rows = new Map<string, StoredRow>()
  private history: StoredRow[] = []
  private forgottenUpTo = 0
  private version = 0
  private waiting: Waiting[] = []
  private readonly server: Server

  private constructor () {
    this.server = createServer((request, response) => { void this.take(request, response) })
  }

  /** Starts a store on a free port of loopback. */
  static async start (): Promise<RowsStandin> {
    const standin = new RowsStandin()
    await new Promise<void>(resolve => { standin.server.listen(0, '127.0.0.1', resolve) })
    return standin
  }

  /** IP number and port. */
  get address (): string {
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`
  }

  /**
   * Writes a row as the operator or a server would.
   *
   * @param table - its table
   * @param key - its key
   * @param value - becomes JSON; undefined removes the row
   */
  put (table: string, key: string, value: unknown): void {
    const text = value === undefined ? undefined : Buffer.from(JSON.stringify(value)).toString('base64')
    this.version++
    this.change({ table, part: '', key, ...(text === undefined ? {} : { value: text }), row_version: this.version })
  }

  /** @returns the value of a row as JSON, or undefined */
  read (table: string, key: string): unknown {
    const value = this.rows.get(`${table}/${key}`)?.value
    return value === undefined ? undefined : JSON.parse(Buffer.from(value, 'base64').toString())
  }

  /** Forgets the history of changes. */
  compact (): void {
    this.history = []
    this.forgottenUpTo = this.version
  }

  /** How many calls wait for changes. */
  get waitingCalls (): number {
    return this.waiting.length
  }

  /** Ends all calls that wait, as an outage does. */
  cutWaiting (): void {
    for (const { response } of this.waiting.splice(0)) response.destroy()
  }

  close (): void {
    this.server.close()
    this.server.closeAllConnections()
  }

  private change (row: StoredRow): void {
    const stored = row.value === undefined ? { ...row, tombstone: true } : row
    if (row.value === undefined) this.rows.delete(`${row.table}/${row.key}`)
    else this.rows.set(`${row.table}/${row.key}`, row)
    this.history.push(stored)
    const told = this.waiting.filter(waiting => waiting.table === row.table)
    this.waiting = this.waiting.filter(waiting => waiting.table !== row.table)
    for (const { table, after, response } of told) this.feed(response, table, after)
  }

  private async take (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const url = new URL(request.url ?? '/', 'http://store')
    this.calls.set(url.pathname, (this.calls.get(url.pathname) ?? 0) + 1)
    const pieces: Buffer[] = []
    for await (const piece of request) pieces.push(piece as Buffer)
    if (this.fault === StoreFault.busy) this.reply(response, 503, {})
    else if (this.fault === StoreFault.reset) request.socket.resetAndDestroy()
    else if (this.fault !== StoreFault.silent) this.serve(url, Buffer.concat(pieces), response)
  }

  private serve (url: URL, body: Buffer, response: ServerResponse): void {
    const table = url.searchParams.get('table') ?? ''
    if (url.pathname.endsWith('/rows-get')) {
      const rows = [...this.rows.values()].filter(row => row.table === table)
      this.reply(response, 200, { rows, truncated: false })
    } else if (url.pathname.endsWith('/rows-feed')) {
      this.feed(response, table, Number(url.searchParams.get('after')), Number(url.searchParams.get('wait_ms')))
    } else {
      this.transact(JSON.parse(body.toString()) as Transaction, response)
    }
  }

  private feed (response: ServerResponse, table: string, after: number, waitMs = 0): void {
    if (after < this.forgottenUpTo) {
      this.reply(response, 410, {})
      return
    }
    const rows = this.history.filter(row => row.table === table && row.row_version > after)
    if (rows.length > 0 || waitMs === 0) {
      this.reply(response, 200, { rows })
      return
    }
    const waiting = { table, after, response }
    this.waiting.push(waiting)
    setTimeout(() => {
      const at = this.waiting.indexOf(waiting)
      if (at === -1) return
      this.waiting.splice(at, 1)
      this.reply(response, 200, { rows: [] })
    }, waitMs).unref()
  }

  private transact (call: Transaction, response: ServerResponse): void {
    const expected = call.expected_revision ?? []
    const differs = expected.some(row => (this.rows.get(`${row.table}/${row.key}`)?.row_version ?? 0) !== row.row_version)
    if (differs) {
      this.reply(response, 412, { rows: [] })
      return
    }
    this.version++
    for (const row of call.writes ?? []) this.change({ ...row, row_version: this.version })
    for (const { table, part, key } of call.delete ?? []) this.change({ table, part, key, row_version: this.version })
    if (this.fault === StoreFault.lost) response.destroy()
    else this.reply(response, 200, {})
  }

  private reply (response: ServerResponse, status: number, body: object): void {
    response.writeHead(status, { 'content-type': 'application/json' })
    response.end(JSON.stringify({ ...body, row_version: this.version, now_ms: Math.round(performance.now()) }))
  }
}
