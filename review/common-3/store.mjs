/** Stand-in for the platform's store of rows: rows-get, rows-feed and rows-tx of PROTOCOL.md, in memory. */
import { createServer } from 'node:http'

export class Store {
  rows = new Map()
  history = []
  version = 0
  feeds = new Set()

  async listen (ip) {
    this.server = createServer((request, response) => { void this.handle(request, response) })
    await new Promise(resolve => this.server.listen(0, ip, resolve))
    this.address = `${ip}:${this.server.address().port}`
  }

  /** Writes a row as the operator or a server does; undefined removes it. */
  put (table, key, value) {
    this.version++
    this.apply({ table, part: '', key, value: value === undefined ? undefined : encode(value) })
  }

  apply ({ table, part, key, value }) {
    const row = { table, part: part ?? '', key, row_version: this.version }
    if (value === undefined) {
      row.tombstone = true
      this.rows.delete(`${table}/${key}`)
    } else {
      row.value = value
      this.rows.set(`${table}/${key}`, row)
    }
    this.history.push(row)
    for (const feed of [...this.feeds]) if (feed.table === table) this.answerFeed(feed)
  }

  async handle (request, response) {
    const url = new URL(request.url, 'http://store')
    const chunks = []
    for await (const chunk of request) chunks.push(chunk)
    const table = url.searchParams.get('table') ?? ''
    if (url.pathname.endsWith('/rows-get')) {
      const rows = [...this.rows.values()].filter(row => row.table === table).sort((a, b) => a.key < b.key ? -1 : 1)
      this.reply(response, 200, { rows, truncated: false })
    } else if (url.pathname.endsWith('/rows-feed')) {
      const feed = { table, after: Number(url.searchParams.get('after')), response }
      this.feeds.add(feed)
      setTimeout(() => this.answerFeed(feed), Number(url.searchParams.get('wait_ms') ?? 0)).unref()
      if (this.changes(feed).length > 0) this.answerFeed(feed)
    } else if (url.pathname.endsWith('/rows-tx')) this.transact(JSON.parse(Buffer.concat(chunks)), response)
    else this.reply(response, 404, {})
  }

  changes ({ table, after }) {
    return this.history.filter(row => row.table === table && row.row_version > after)
  }

  answerFeed (feed) {
    if (this.feeds.delete(feed)) this.reply(feed.response, 200, { rows: this.changes(feed) })
  }

  transact (body, response) {
    const isOther = row => (this.rows.get(`${row.table}/${row.key}`)?.row_version ?? 0) !== row.row_version
    if ((body.expected_revision ?? []).some(isOther)) {
      this.reply(response, 412, { rows: [] })
      return
    }
    this.version++
    for (const row of body.writes ?? []) this.apply(row)
    for (const row of body.delete ?? []) this.apply({ ...row, value: undefined })
    this.reply(response, 200, {})
  }

  reply (response, status, body) {
    response.writeHead(status, { 'content-type': 'application/json', 'store-era': '1' })
    response.end(JSON.stringify({ ...body, row_version: this.version, now_ms: Math.round(performance.now()) }))
  }

  close () {
    this.server.close()
    this.server.closeAllConnections()
  }
}

function encode (value) {
  return Buffer.from(JSON.stringify(value)).toString('base64')
}
