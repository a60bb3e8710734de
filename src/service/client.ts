import { err, ok, type Result } from 'neverthrow'
import { Agent, request } from 'undici'
import { toError } from '../base/index.js'
import { ServiceFailure } from './failure.js'

/** A call as it is forwarded. */
export interface Forward {
  readonly method: string
  /** Path and query below the service. */
  readonly path: string
  readonly headers: Readonly<Record<string, string>>
  readonly body: Buffer
  readonly timeoutMs: number
}

/** A whole answer. */
export interface ServiceAnswer {
  readonly status: number
  readonly contentType: string
  readonly body: Buffer
}

const CONNECT_TIMEOUT_MS = 1_000
const UNSENT: ReadonlySet<string> = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT', 'EHOSTUNREACH', 'ENETUNREACH'])

/** Calls workers of plain services, each call once. */
export class ServiceClient {
  private readonly agent = new Agent({ connect: { timeout: CONNECT_TIMEOUT_MS }, pipelining: 1 })

  /** @param greatestBytes - longest answer taken, in bytes */
  constructor (private readonly greatestBytes: number) {}

  /**
   * Forwards a call.
   *
   * @param address - the worker's base address
   * @param call - the call
   * @returns its whole answer, or why there is none
   */
  async send (address: string, call: Forward): Promise<Result<ServiceAnswer, ServiceFailure>> {
    const what = `${call.method} ${address}${call.path}`
    try {
      return ok(await this.exchange(address, call))
    } catch (thrown) {
      const cause = toError(thrown) as NodeJS.ErrnoException
      const code = UNSENT.has(cause.code ?? '') ? 'unsent' : 'broken'
      return err(new ServiceFailure({ code, cause }, `${what}: ${cause.message}`))
    }
  }

  /** Closes the connections. */
  async close (): Promise<void> {
    await this.agent.destroy()
  }

  private async exchange (address: string, call: Forward): Promise<ServiceAnswer> {
    const response = await request(address + call.path, {
      method: call.method as 'GET',
      headers: call.headers,
      body: call.body.length === 0 ? null : call.body,
      dispatcher: this.agent,
      signal: AbortSignal.timeout(call.timeoutMs)
    })
    const parts: Buffer[] = []
    let bytes = 0
    for await (const part of response.body) {
      bytes += (part as Buffer).length
      if (bytes > this.greatestBytes) throw new Error(`the answer is over ${this.greatestBytes} bytes`)
      parts.push(part as Buffer)
    }
    const contentType = response.headers['content-type']
    const type = Array.isArray(contentType) ? contentType[0] : contentType
    return { status: response.statusCode, contentType: type ?? 'application/octet-stream', body: Buffer.concat(parts) }
  }
}
