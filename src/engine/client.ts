import { err, ok, type Result } from 'neverthrow'
import { Agent, type Dispatcher, request } from 'undici'
import { readText, toError } from '../base/index.js'
import { EngineFailure } from './failure.js'

/** Body stream of an HTTP response from an engine. */
export type ResponseBody = Dispatcher.ResponseData['body']

const CONNECT_TIMEOUT_MS = 2_000
const CANCEL_TIMEOUT_MS = 2_000

/** Longest description of a failure, in bytes. */
const MAX_FAILURE_BYTES = 64 << 10

/** Error codes of connections that failed before the request was sent. */
const NOT_SENT_CODES: ReadonlySet<string> = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT', 'EHOSTUNREACH', 'ENETUNREACH'])

/** HTTP client for engines that implement the Responses API. Never retries a call. */
export class EngineClient {
  private readonly agent: Agent

  /** @param idleTimeoutMs - time without data after which a response is aborted, in milliseconds */
  constructor (idleTimeoutMs: number) {
    this.agent = new Agent({
      connect: { timeout: CONNECT_TIMEOUT_MS },
      headersTimeout: idleTimeoutMs,
      bodyTimeout: idleTimeoutMs,
      pipelining: 1
    })
  }

  /**
   * Sends a request to an engine.
   *
   * @param address - the engine's base address
   * @param body - the request as JSON, including `request_id`
   * @returns the response stream; `refused` only if the engine has certainly not accepted the request
   */
  async create (address: string, body: string): Promise<Result<ResponseBody, EngineFailure>> {
    const headers = { 'content-type': 'application/json', accept: 'text/event-stream' }
    const path = '/v1/responses'
    return await this.stream(address, path, { method: 'POST', headers, body })
  }

  /**
   * Resumes reading a response.
   *
   * @param address - the engine's base address
   * @param responseId - id of the response
   * @param after - last sequence number already received; -1 for none
   * @returns the remaining response stream; `absent` if the engine does not know the response
   */
  async resume (address: string, responseId: string, after: number): Promise<Result<ResponseBody, EngineFailure>> {
    const startParameter = after < 0 ? '' : `&starting_after=${after}`
    const path = `/v1/responses/${encodeURIComponent(responseId)}?stream=true${startParameter}`
    return await this.stream(address, path, { method: 'GET' })
  }

  /**
   * Cancels a response. The call is idempotent.
   *
   * @param address - the engine's base address
   * @param responseId - id of the response
   */
  async cancel (address: string, responseId: string): Promise<Result<void, EngineFailure>> {
    const url = `${address}/v1/responses/${encodeURIComponent(responseId)}/cancel`
    try {
      const signal = AbortSignal.timeout(CANCEL_TIMEOUT_MS)
      const response = await request(url, { method: 'POST', dispatcher: this.agent, signal })
      await response.body.dump()
      return ok(undefined)
    } catch (thrown) {
      return err(new EngineFailure({ code: 'broken', cause: toError(thrown) }, `${url}: ${toError(thrown).message}`))
    }
  }

  /** Closes all connections and aborts requests in progress. */
  async close (): Promise<void> {
    await this.agent.destroy()
  }

  private async stream (
    address: string, path: string, options: { method: 'GET' | 'POST', headers?: Record<string, string>, body?: string }
  ): Promise<Result<ResponseBody, EngineFailure>> {
    const operation = `${options.method} ${address}${path}`
    try {
      const response = await request(address + path, { ...options, dispatcher: this.agent })
      if (response.statusCode === 200) return ok(response.body)
      const body = await readText(response.body, MAX_FAILURE_BYTES)
      return err(statusFailure(operation, response.statusCode, body))
    } catch (thrown) {
      const cause = toError(thrown) as NodeJS.ErrnoException
      const code = NOT_SENT_CODES.has(cause.code ?? '') ? 'refused' : 'broken'
      return err(new EngineFailure({ code, cause }, `${operation}: ${cause.message}`))
    }
  }
}

/** Maps an HTTP error status to a failure. */
function statusFailure (operation: string, status: number, body: string): EngineFailure {
  const message = `${operation}: status ${status}: ${body.slice(0, 200)}`
  if (status === 404) return new EngineFailure({ code: 'absent' }, message)
  if (status === 429 || status === 503) return new EngineFailure({ code: 'refused' }, message)
  if (status >= 400 && status < 500) return new EngineFailure({ code: 'invalid' }, message)
  return new EngineFailure({ code: 'broken' }, message)
}
