import aws4 from 'aws4'
import { ResultAsync } from 'neverthrow'
import { Agent, request } from 'undici'
import { toError } from '../base/index.js'
import { PlatformFailure } from './failure.js'

/** How to reach and sign for one platform service. */
export interface Access {
  readonly address: string
  readonly region: string
  readonly accessKey: string
  readonly secretKey: string
  readonly timeoutMs: number
}

/** One HTTP call, before it is signed. */
export interface Order {
  readonly method: string
  readonly path: string
  readonly headers: Readonly<Record<string, string>>
  readonly body: string
}

/** The answer to a call. */
export interface Reply {
  readonly status: number
  readonly body: string
}

const CONNECTIONS = 16

/** Sends signed HTTP calls to one platform service. */
export class SignedClient {
  private readonly agent: Agent

  /**
   * @param service - the service's name, which is part of the signature
   * @param access - address and keys
   */
  constructor (private readonly service: string, private readonly access: Access) {
    this.agent = new Agent({
      connections: CONNECTIONS,
      headersTimeout: access.timeoutMs,
      bodyTimeout: access.timeoutMs,
      connect: { timeout: access.timeoutMs }
    })
  }

  /**
   * Sends one call, once.
   *
   * @param order - the call
   * @returns the answer, or an `outage` if none came in time
   */
  send (order: Order): ResultAsync<Reply, PlatformFailure> {
    const url = new URL(order.path, this.access.address)
    const signed = aws4.sign({
      host: url.host,
      method: order.method,
      path: url.pathname + url.search,
      headers: { ...order.headers },
      body: order.body,
      service: this.service,
      region: this.access.region
    }, { accessKeyId: this.access.accessKey, secretAccessKey: this.access.secretKey })
    const headers = signed.headers as Record<string, string>
    return ResultAsync.fromPromise(this.exchange(url, order, headers), thrown => new PlatformFailure(
      { code: 'outage', cause: toError(thrown) }, `${this.service} ${order.method} ${order.path}: ${toError(thrown).message}`))
  }

  /** Closes the connections. */
  async close (): Promise<void> {
    await this.agent.destroy()
  }

  private async exchange (url: URL, order: Order, headers: Record<string, string>): Promise<Reply> {
    const signal = AbortSignal.timeout(this.access.timeoutMs)
    const response = await request(url, {
      method: order.method as 'GET', headers, body: order.body === '' ? null : order.body, signal, dispatcher: this.agent
    })
    return { status: response.statusCode, body: await response.body.text() }
  }
}
