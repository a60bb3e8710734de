import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { listenOnLoopback, portOf, sendJson } from './http.js'

/** Faults that the platform simulates; set at run time by way of `/control`. */
export interface PlatformFaults {
  /** Calls are not answered. */
  down: boolean
  /** Delay before each call is handled, in milliseconds. */
  delayMs: number
  /** Every nth write, if it goes to the table, takes effect without a response; 0 for never. */
  loseEvery: number
}

interface Item {
  pk: { S: string }
  sk: { S: string }
  version: { N: string }
}

/** Parameters of the DynamoDB operations that are supported, in their wire format. */
interface TableRequest {
  Item?: Item
  Key?: { pk: { S: string }, sk: { S: string } }
  ConditionExpression?: string
  ExpressionAttributeValues?: Record<string, { S?: string, N?: string }>
  Limit?: number
}

/** Connections of calls that arrive while the platform is down are closed after this time. */
const UNANSWERED_CALL_TIMEOUT_MS = 60_000

/** Stand-in for the platform: its table (DynamoDB protocol), object store (S3 protocol) and host list. */
export class PlatformStandin {
  readonly faults: PlatformFaults = { down: false, delayMs: 0, loseEvery: 0 }
  private readonly partitions = new Map<string, Map<string, Item>>()
  private readonly objects = new Map<string, string>()
  private hosts: unknown = []
  private readonly counts = { reads: 0, writes: 0, refused: 0 }
  private server: Server | undefined

  /**
   * Starts listening on loopback.
   *
   * @param port - the port; 0 takes any free one
   * @returns the port it listens on
   */
  async listen (port: number): Promise<number> {
    this.server = await listenOnLoopback(port, (request, response, body) => this.handle(request, response, body))
    return portOf(this.server)
  }

  /** Stops listening and closes all connections without waiting for open requests. */
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
      setTimeout(() => response.destroy(), UNANSWERED_CALL_TIMEOUT_MS).unref()
      return
    }
    if (this.faults.delayMs > 0) await new Promise(resolve => setTimeout(resolve, this.faults.delayMs))
    if (path === '/hosts') return this.handleHosts(request, response, body)
    if (request.headers.authorization?.startsWith('AWS4-HMAC-SHA256') !== true) {
      return sendJson(response, 400, { __type: 'MissingAuthenticationToken' })
    }
    const operation = String(request.headers['x-amz-target'] ?? '').split('.')[1]
    if (operation === undefined) return this.handleObject(request, response, path, body)
    this.handleTable(response, operation, JSON.parse(body) as TableRequest)
  }

  private handleHosts (request: IncomingMessage, response: ServerResponse, body: string): void {
    if (request.method === 'PUT') this.hosts = JSON.parse(body)
    sendJson(response, 200, this.hosts)
  }

  private handleObject (request: IncomingMessage, response: ServerResponse, path: string, body: string): void {
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

  private handleTable (response: ServerResponse, operation: string, request: TableRequest): void {
    if (operation === 'PutItem') return this.putItem(response, request)
    this.counts.reads++
    if (operation === 'GetItem') {
      const { pk, sk } = request.Key!
      return sendJson(response, 200, { Item: this.partitions.get(pk.S)?.get(sk.S) })
    }
    const values = request.ExpressionAttributeValues!
    const items = [...(this.partitions.get(values[':pk']!.S!) ?? new Map<string, Item>()).values()]
      .filter(item => item.sk.S > values[':after']!.S!)
      .sort((a, b) => a.sk.S < b.sk.S ? -1 : 1)
    sendJson(response, 200, { Items: items.slice(0, request.Limit) })
  }

  /** Writes an item if the stored one has the expected version, or is absent if none is expected. */
  private putItem (response: ServerResponse, request: TableRequest): void {
    const item = request.Item!
    const partition = this.partitions.get(item.pk.S) ?? new Map<string, Item>()
    const existing = partition.get(item.sk.S)
    const expectedVersion = request.ExpressionAttributeValues?.[':before']?.N
    const isConditionMet = expectedVersion === undefined
      ? existing === undefined
      : existing?.version.N === expectedVersion
    if (!isConditionMet) {
      this.counts.refused++
      return sendJson(response, 400, { __type: 'com.amazonaws.dynamodb.v20120810#ConditionalCheckFailedException' })
    }
    partition.set(item.sk.S, item)
    this.partitions.set(item.pk.S, partition)
    this.counts.writes++
    const { loseEvery } = this.faults
    if (loseEvery > 0 && this.counts.writes % loseEvery === 0) response.destroy()
    else sendJson(response, 200, {})
  }
}
