import { err, ok, type Result } from 'neverthrow'
import { request } from 'undici'
import { Failure, toError } from '../base/index.js'
import { readSecret } from '../settings/index.js'

/** Says that a host's administration API could not be used. */
export class ApiFailure extends Failure<'unreachable' | 'rejected' | 'conflict' | 'unreadable'> {}

/** Where the administration API is and who asks. */
export interface Target {
  /** The host's address for callers, such as http://10.0.0.1:8080. */
  readonly at: string
  readonly keyFile: string
}

const TIMEOUT_MS = 10_000
const CONFLICT = 409

function failure (code: ApiFailure['code'], message: string, cause?: Error): ApiFailure {
  return new ApiFailure('ApiFailure', cause === undefined ? { code } : { code, cause }, message)
}

/** Calls the administration API of one host. */
export class Api {
  /** @param target - where it is and who asks */
  constructor (private readonly target: Target) {}

  /**
   * @param path - the path below /admin
   * @returns the answer's JSON
   */
  get (path: string): Promise<Result<unknown, ApiFailure>> {
    return this.call('GET', path, null)
  }

  /**
   * @param path - the path below /admin
   * @param body - the body to send
   * @returns the answer's JSON
   */
  post (path: string, body: string): Promise<Result<unknown, ApiFailure>> {
    return this.call('POST', path, body)
  }

  private async call (method: 'GET' | 'POST', path: string, body: string | null): Promise<Result<unknown, ApiFailure>> {
    const key = readSecret(this.target.keyFile)
    if (key.isErr()) return err(failure('unreadable', key.error.message, key.error))
    const url = `${this.target.at}/admin${path}`
    try {
      const signal = AbortSignal.timeout(TIMEOUT_MS)
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
