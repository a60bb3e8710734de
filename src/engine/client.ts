import { err, ok, type Result } from 'neverthrow'
import { Agent, type Dispatcher, request } from 'undici'
import { toError } from '../base/index.js'
import { EngineFailure } from './failure.js'

/** The body of an answer as it streams. */
export type Body = Dispatcher.ResponseData['body']

const CONNECT_TIMEOUT_MS = 2_000
const CANCEL_TIMEOUT_MS = 2_000

/** Errors after which the engine certainly never saw the request. */
const UNSENT: ReadonlySet<string> = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT', 'EHOSTUNREACH', 'ENETUNREACH'])

/** Calls engines, each call once. Speaks the Responses API. */
export class EngineClient {
  private readonly agent: Agent

  /** @param silenceMs - an answer silent for this long is broken off, in milliseconds */
  constructor (silenceMs: number) {
    this.agent = new Agent({
      connect: { timeout: CONNECT_TIMEOUT_MS },
      headersTimeout: silenceMs,
      bodyTimeout: silenceMs,
      pipelining: 1
    })
  }

  /**
   * Hands a request to an engine.
   *
   * @param address - the engine's base address
   * @param body - the request as JSON, with its `request_id`
   * @returns the streaming answer; `refused` only if the engine certainly did not take it
   */
  async create (address: string, body: string): Promise<Result<Body, EngineFailure>> {
    const headers = { 'content-type': 'application/json', accept: 'text/event-stream' }
    const path = '/v1/responses'
    return await this.stream(address, path, { method: 'POST', headers, body })
  }

  /**
   * Reads on an answer.
   *
   * @param address - the engine's base address
   * @param responseId - the response
   * @param after - the last sequence number already had; -1 for none
   * @returns the streaming rest of the answer; `absent` if the engine does not know the response
   */
  async resume (address: string, responseId: string, after: number): Promise<Result<Body, EngineFailure>> {
    const from = after < 0 ? '' : `&starting_after=${after}`
    const path = `/v1/responses/${encodeURIComponent(responseId)}?stream=true${from}`
    return await this.stream(address, path, { method: 'GET' })
  }

  /**
   * Cancels a response. Cancelling twice does no harm.
   *
   * @param address - the engine's base address
   * @param responseId - the response
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

  /** Closes the connections. */
  async close (): Promise<void> {
    await this.agent.destroy()
  }

  private async stream (
    address: string, path: string, options: { method: 'GET' | 'POST', headers?: Record<string, string>, body?: string }
  ): Promise<Result<Body, EngineFailure>> {
    const what = `${options.method} ${address}${path}`
    try {
      const response = await request(address + path, { ...options, dispatcher: this.agent })
      if (response.statusCode === 200) return ok(response.body)
      const body = await response.body.text()
      return err(refusal(what, response.statusCode, body))
    } catch (thrown) {
      const cause = toError(thrown) as NodeJS.ErrnoException
      const code = UNSENT.has(cause.code ?? '') ? 'refused' : 'broken'
      return err(new EngineFailure({ code, cause }, `${what}: ${cause.message}`))
    }
  }
}

function refusal (what: string, status: number, body: string): EngineFailure {
  const message = `${what}: status ${status}: ${body.slice(0, 200)}`
  if (status === 404) return new EngineFailure({ code: 'absent' }, message)
  if (status === 429 || status === 503) return new EngineFailure({ code: 'refused' }, message)
  if (status >= 400 && status < 500) return new EngineFailure({ code: 'invalid' }, message)
  return new EngineFailure({ code: 'broken' }, message)
}
