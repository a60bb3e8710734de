import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { portOf, sendJson, serveAt } from './http.js'

/** Faults of the platform, settable at run time. */
export interface PlatformFaults {
  /** Calls are not answered at all. */
  down: boolean
  /** Time that each call takes, in milliseconds. */
  delayMs: number
  /** Every so many writes take effect without an answer; 0 for never. */
  loseEvery: number
}

interface Item {
  pk: { S: string }
  sk: { S: string }
  version: { N: string }
}

interface Input {
  Item?: Item
  Key?: { pk: { S: string }, sk: { S: string } }
  ConditionExpression?: string
  ExpressionAttributeValues?: Record<string, { S?: string, N?: string }>
  Limit?: number
}

const DOWN_MS = 60_000

/** The platform's table, object store and host list in one process. */
export class PlatformService {
  readonly faults: PlatformFaults = { down: false, delayMs: 0, loseEvery: 0 }
  private readonly partitions = new Map<string, Map<string, Item>>()
  private readonly objects = new Map<string, string>()
  private hosts: unknown = []
  private readonly counts = { reads: 0, writes: 0, refused: 0 }
  private server: Server | undefined

  /**
   * @param port - the port; 0 takes any free one
   * @returns the port that is listened at
   */
  async listen (port: number): Promise<number> {
    this.server = await serveAt(port, (request, response, body) => this.handle(request, response, body))
    return portOf(this.server)
  }

  /** Stops at once. */
  close (): void {
    this.server?.close()
    this.server?.closeAllConnections()
  }

  private async handle (request: IncomingMessage, response: ServerResponse, body: string): Promise<void> {
    const path = request.url ?? '/'
    if (path === '/control') {
      Object.assign(this.faults, JSON.parse(body === '' ? '{}' : body))
      return sendJson(response, 200, { ...this.faults, ...this.counts })
    }
    if (this.faults.down) {
      setTimeout(() => response.destroy(), DOWN_MS).unref()
      return
    }
    if (this.faults.delayMs > 0) await new Promise(resolve => setTimeout(resolve, this.faults.delayMs))
    if (path === '/hosts') return this.hostList(request, response, body)
    if (request.headers.authorization?.startsWith('AWS4-HMAC-SHA256') !== true) {
      return sendJson(response, 400, { __type: 'MissingAuthenticationToken' })
    }
    const operation = String(request.headers['x-amz-target'] ?? '').split('.')[1]
    if (operation === undefined) return this.object(request, response, path, body)
    this.table(response, operation, JSON.parse(body) as Input)
  }

  private hostList (request: IncomingMessage, response: ServerResponse, body: string): void {
    if (request.method === 'PUT') this.hosts = JSON.parse(body)
    sendJson(response, 200, this.hosts)
  }

  private object (request: IncomingMessage, response: ServerResponse, path: string, body: string): void {
    if (request.method === 'PUT') {
      this.counts.writes++
      this.objects.set(path, body)
      response.end()
      return
    }
    this.counts.reads++
    const text = this.objects.get(path)
    response.writeHead(text === undefined ? 404 : 200)
    response.end(text ?? '')
  }

  private table (response: ServerResponse, operation: string, input: Input): void {
    if (operation === 'PutItem') return this.put(response, input)
    this.counts.reads++
    if (operation === 'GetItem') {
      const { pk, sk } = input.Key!
      return sendJson(response, 200, { Item: this.partitions.get(pk.S)?.get(sk.S) })
    }
    const values = input.ExpressionAttributeValues!
    const rows = [...(this.partitions.get(values[':pk']!.S!) ?? new Map<string, Item>()).values()]
      .filter(item => item.sk.S > values[':after']!.S!)
      .sort((a, b) => a.sk.S < b.sk.S ? -1 : 1)
    sendJson(response, 200, { Items: rows.slice(0, input.Limit) })
  }

  private put (response: ServerResponse, input: Input): void {
    const item = input.Item!
    const rows = this.partitions.get(item.pk.S) ?? new Map<string, Item>()
    const before = rows.get(item.sk.S)
    const wanted = input.ExpressionAttributeValues?.[':before']?.N
    const holds = wanted === undefined ? before === undefined : before?.version.N === wanted
    if (!holds) {
      this.counts.refused++
      return sendJson(response, 400, { __type: 'com.amazonaws.dynamodb.v20120810#ConditionalCheckFailedException' })
    }
    rows.set(item.sk.S, item)
    this.partitions.set(item.pk.S, rows)
    this.counts.writes++
    const { loseEvery } = this.faults
    if (loseEvery > 0 && this.counts.writes % loseEvery === 0) response.destroy()
    else sendJson(response, 200, {})
  }
}
