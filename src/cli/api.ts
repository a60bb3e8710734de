import { err, ok, type Result } from 'neverthrow'
import { request } from 'undici'
import { Failure, toError } from '../base/index.js'
import { readTextFile } from '../settings/index.js'

/**
 * A call to the administration API failed: the host did not respond with JSON in time (`unreachable`), it rejected
 * the request (`rejected`), the configuration has changed meanwhile (`conflict`), or the key file can't be read
 * (`unreadable`).
 */
export class ApiFailure extends Failure<'unreachable' | 'rejected' | 'conflict' | 'unreadable'> {}

/** The address of an administration API and the credentials for it. */
export interface ApiTarget {
  /** Base URL on which the host serves callers, such as http://10.0.0.1:8080. */
  readonly at: string
  /** Path of the file that contains the operator's key. */
  readonly keyFile: string
}

const REQUEST_TIMEOUT_MS = 10_000
const CONFLICT = 409

function failure (code: ApiFailure['code'], message: string, cause?: Error): ApiFailure {
  return new ApiFailure('ApiFailure', cause === undefined ? { code } : { code, cause }, message)
}

/** A client of the administration API of one host. */
export class ApiClient {
  /** @param target - the address of the API and the credentials for it */
  constructor (private readonly target: ApiTarget) {}

  /**
   * Sends a GET request.
   *
   * @param path - path below /admin, with its query
   * @returns the parsed JSON of the response, or why the call failed
   */
  get (path: string): Promise<Result<unknown, ApiFailure>> {
    return this.call('GET', path, null)
  }

  /**
   * Sends a POST request.
   *
   * @param path - path below /admin, with its query
   * @param body - the request body
   * @returns the parsed JSON of the response, or why the call failed
   */
  post (path: string, body: string): Promise<Result<unknown, ApiFailure>> {
    return this.call('POST', path, body)
  }

  private async call (method: 'GET' | 'POST', path: string, body: string | null): Promise<Result<unknown, ApiFailure>> {
    const key = readTextFile(this.target.keyFile)
    if (key.isErr()) return err(failure('unreadable', key.error.message, key.error))
    const url = `${this.target.at}/admin${path}`
    try {
      const signal = AbortSignal.timeout(REQUEST_TIMEOUT_MS)
      const response = await request(url, { method, body, signal, headers: { authorization: `Bearer ${key.value}` } })
      const json = await response.body.json() as { detail?: string }
      if (response.statusCode < 400) return ok(json)
      const code = response.statusCode === CONFLICT ? 'conflict' : 'rejected'
      return err(failure(code, json.detail ?? `${url}: status ${response.statusCode}`))
    } catch (thrown) {
      return err(failure('unreachable', `${url}: ${toError(thrown).message}`, toError(thrown)))
    }
  }
}
