import { createServer } from 'node:http'

/** Stand-in for the platform's row store: transactions, lists and the feed of changes, as PROTOCOL.md states them. */
export class Store {
  rows = new Map()
  history = []
  version = 0
  era = 1
  waiting = new Set()
  /** If set, is called with each call and its body; a call for which it returns true is left to it. */
  intercept = undefined

  static async start () {
    const store = new Store()
    store.server = createServer((request, response) => { store.handle(request, response) })
    await new Promise(resolve => store.server.listen(0, '127.0.0.1', resolve))
    store.address = `127.0.0.1:${store.server.address().port}`
    return store
  }

  /** Writes a row as the operator or a server does, or drops it if the value is undefined. */
  put (table, key, value) {
    this.version++
    this.apply({ table, part: '', key }, value === undefined ? undefined : toBase64(value))
  }

  read (table, key) {
    const row = this.rows.get(`${table}/${key}`)
    return row === undefined ? undefined : JSON.parse(Buffer.from(row.value, 'base64').toString())
  }

  close () {
    this.server.close()
    this.server.closeAllConnections()
  }

  apply ({ table, part, key }, value) {
    const row = { table, part, key, row_version: this.version }
    if (value === undefined) {
      this.rows.delete(`${table}/${key}`)
      this.history.push({ ...row, tombstone: true })
    } else {
      this.rows.set(`${table}/${key}`, { ...row, value })
      this.history.push({ ...row, value })
    }
    for (const wake of [...this.waiting]) wake(table)
  }

  async handle (request, response) {
    const chunks = []
    for await (const chunk of request) chunks.push(chunk)
    const url = new URL(request.url, 'http://store')
    const body = Buffer.concat(chunks).toString()
    if (this.intercept?.(url, body, response, request) === true) return
    if (url.pathname === '/marigoldvalve/rows-get') this.list(url.searchParams, response)
    else if (url.pathname === '/marigoldvalve/rows-feed') this.feed(url.searchParams, response)
    else if (url.pathname === '/marigoldvalve/rows-tx') this.transact(JSON.parse(body), response)
    else this.reply(response, 404, {})
  }

  list (query, response) {
    const table = query.get('table')
    const from = query.get('from') ?? ''
    const rows = [...this.rows.values()].filter(row => row.table === table && row.key >= from)
      .sort((a, b) => a.key < b.key ? -1 : 1)
    this.reply(response, 200, { rows, truncated: false })
  }

  feed (query, response) {
    const table = query.get('table')
    const after = Number(query.get('after'))
    if (after > this.version) {
      this.reply(response, 410, {})
      return
    }
    const changes = () => this.history.filter(row => row.table === table && row.row_version > after)
    const finish = () => {
      this.waiting.delete(wake)
      clearTimeout(timer)
      this.reply(response, 200, { rows: changes() })
    }
    const wake = changed => { if (changed === table) finish() }
    const timer = setTimeout(finish, changes().length > 0 ? 0 : Number(query.get('wait_ms')))
    if (changes().length === 0) this.waiting.add(wake)
    response.on('close', () => {
      this.waiting.delete(wake)
      clearTimeout(timer)
    })
  }

  transact ({ expected_revision: expected = [], writes = [], delete: dropped = [] }, response) {
    const versionOf = ({ table, key }) => this.rows.get(`${table}/${key}`)?.row_version ?? 0
    const known = expected.map(({ table, key }) => this.rows.get(`${table}/${key}`)).filter(row => row !== undefined)
    if (expected.some(row => versionOf(row) !== row.row_version)) {
      this.reply(response, 412, { rows: known })
      return
    }
    this.version++
    for (const row of writes) this.apply(row, row.value)
    for (const row of dropped) this.apply(row, undefined)
    this.reply(response, 200, {})
  }

  reply (response, status, body) {
    response.writeHead(status, { 'content-type': 'application/json', 'store-era': String(this.era) })
    response.end(JSON.stringify({ ...body, row_version: this.version, now_ms: Math.round(performance.now()) }))
  }
}

function toBase64 (value) {
  return Buffer.from(JSON.stringify(value)).toString('base64')
}
