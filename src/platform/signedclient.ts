import aws4 from 'aws4'
import { ResultAsync } from 'neverthrow'
import { Agent, request } from 'undici'
import { readText, toError } from '../base/index.js'
import { PlatformFailure } from './failure.js'

/** Address, credentials and timeout for calls to one platform service. */
export interface ServiceAccess {
  /** Base URL of the service. */
  readonly address: string
  readonly region: string
  readonly accessKey: string
  readonly secretKey: string
  readonly timeoutMs: number
}

/** An HTTP request before it is signed. */
export interface UnsignedRequest {
  readonly method: string
  /** Path and query, relative to the service's address. */
  readonly path: string
  readonly headers: Readonly<Record<string, string>>
  readonly body: string
}

/** The response to a request, with its whole body. */
export interface ServiceResponse {
  readonly status: number
  readonly body: string
}

/** Connections to one service that may be open at once. */
const MAX_CONNECTIONS = 16

/** Longest body of a response, in bytes; twice what a table returns at once. */
const MAX_RESPONSE_BYTES = 32 << 20

/** Sends HTTP requests with AWS signatures to one platform service. */
export class SignedClient {
  private readonly agent: Agent

  /**
   * @param service - the service's AWS name, which is part of the signature
   * @param access - address, region, credentials and timeout of the service
   */
  constructor (private readonly service: string, private readonly access: ServiceAccess) {
    this.agent = new Agent({
      connections: MAX_CONNECTIONS,
      headersTimeout: access.timeoutMs,
      bodyTimeout: access.timeoutMs,
      connect: { timeout: access.timeoutMs }
    })
  }

  /**
   * Signs and sends a request, without retries.
   *
   * @param unsigned - the request
   * @returns the response, whatever its status, or an `outage` if none came in time
   */
  send (unsigned: UnsignedRequest): ResultAsync<ServiceResponse, PlatformFailure> {
    const url = new URL(unsigned.path, this.access.address)
    const signed = aws4.sign({
      host: url.host,
      method: unsigned.method,
      path: url.pathname + url.search,
      headers: { ...unsigned.headers },
      body: unsigned.body,
      service: this.service,
      region: this.access.region
    }, { accessKeyId: this.access.accessKey, secretAccessKey: this.access.secretKey })
    const headers = signed.headers as Record<string, string>
    return ResultAsync.fromPromise(this.exchange(url, unsigned, headers), thrown => new PlatformFailure(
      { code: 'outage', cause: toError(thrown) },
      `${this.service} ${unsigned.method} ${unsigned.path}: ${toError(thrown).message}`))
  }

  /** Closes all connections; pending requests fail. */
  async close (): Promise<void> {
    await this.agent.destroy()
  }

  private async exchange (
    url: URL, unsigned: UnsignedRequest, headers: Record<string, string>
  ): Promise<ServiceResponse> {
    const signal = AbortSignal.timeout(this.access.timeoutMs)
    const response = await request(url, {
      method: unsigned.method as 'GET',
      headers,
      body: unsigned.body === '' ? null : unsigned.body,
      signal,
      dispatcher: this.agent
    })
    return { status: response.statusCode, body: await readText(response.body, MAX_RESPONSE_BYTES) }
  }
}
