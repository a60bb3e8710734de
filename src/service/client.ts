import { err, ok, type Result } from 'neverthrow'
import { Agent, request } from 'undici'
import { createConnector, isFinalStatus, toError } from '../base/index.js'
import { ServiceFailure } from './failure.js'

/** A call in the form in which it is forwarded to a worker. */
export interface ForwardedCall {
  readonly method: string
  /** Path and query, relative to the worker's base address. */
  readonly path: string
  readonly headers: Readonly<Record<string, string>>
  readonly body: Buffer
  readonly timeoutMs: number
}

/** A complete answer of a worker. */
export interface ServiceAnswer {
  readonly status: number
  readonly contentType: string
  readonly body: Buffer
}

const CONNECT_TIMEOUT_MS = 1_000
/** Errors after which the worker certainly did not receive the call. */
const UNSENT_ERROR_CODES: ReadonlySet<string> =
  new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT', 'EHOSTUNREACH', 'ENETUNREACH'])

/** HTTP client for the workers of plain services. It does not retry. */
export class ServiceClient {
  private readonly agent = new Agent({ connect: createConnector(CONNECT_TIMEOUT_MS), pipelining: 1 })

  /** @param maxAnswerBytes - maximum size of an answer body, in bytes */
  constructor (private readonly maxAnswerBytes: number) {}

  /**
   * Forwards a call to a worker.
   *
   * @param address - the worker's base address
   * @param call - the call to forward
   * @returns the complete answer, or a failure that tells whether the worker may have received the call
   */
  async send (address: string, call: ForwardedCall): Promise<Result<ServiceAnswer, ServiceFailure>> {
    const description = `${call.method} ${address}${call.path}`
    try {
      return ok(await this.fetchAnswer(address, call))
    } catch (thrown) {
      const cause = toError(thrown) as NodeJS.ErrnoException
      const code = UNSENT_ERROR_CODES.has(cause.code ?? '') ? 'unsent' : 'broken'
      return err(new ServiceFailure({ code, cause }, `${description}: ${cause.message}`))
    }
  }

  /** Closes all connections and aborts the calls in progress. */
  async close (): Promise<void> {
    await this.agent.destroy()
  }

  private async fetchAnswer (address: string, call: ForwardedCall): Promise<ServiceAnswer> {
    const response = await request(address + call.path, {
      method: call.method as 'GET',
      headers: call.headers,
      body: call.body.length === 0 ? null : call.body,
      dispatcher: this.agent,
      signal: AbortSignal.timeout(call.timeoutMs)
    })
    const chunks: Buffer[] = []
    let bytes = 0
    for await (const chunk of response.body) {
      bytes += (chunk as Buffer).length
      if (bytes > this.maxAnswerBytes) throw new Error(`answer body exceeds the limit of ${this.maxAnswerBytes} bytes`)
      chunks.push(chunk as Buffer)
    }
    if (!isFinalStatus(response.statusCode)) throw new Error(`the status is ${response.statusCode}`)
    const encoding = String(response.headers['transfer-encoding'] ?? 'chunked')
    if (encoding.toLowerCase() !== 'chunked') throw new Error(`the transfer encoding ${encoding} is unknown`)
    const header = response.headers['content-type']
    const contentType = Array.isArray(header) ? header[0] : header
    return {
      status: response.statusCode,
      contentType: contentType ?? 'application/octet-stream',
      body: Buffer.concat(chunks)
    }
  }
}
