import { errAsync, okAsync, ResultAsync } from 'neverthrow'
import { request } from 'undici'
import { z } from 'zod'
import { toError } from '../base/index.js'
import { PlatformFailure } from './failure.js'
import type { HostList, ListedHost } from './hostlist.js'

const schema = z.array(z.object({ host: z.string(), leaving: z.boolean() }))

/** The host list, as JSON over HTTP. */
export class HttpHostList implements HostList {
  /**
   * @param address - where the list is
   * @param timeoutMs - how long a call may take, in milliseconds
   */
  constructor (private readonly address: string, private readonly timeoutMs: number) {}

  list (): ResultAsync<ListedHost[], PlatformFailure> {
    const failed = (thrown: unknown) => new PlatformFailure(
      { code: 'outage', cause: toError(thrown) }, `host list ${this.address}: ${toError(thrown).message}`)
    return ResultAsync.fromPromise(this.fetch(), failed).andThen((body): ResultAsync<ListedHost[], PlatformFailure> => {
      const checked = schema.safeParse(body)
      return checked.success ? okAsync(checked.data) : errAsync(failed(checked.error))
    })
  }

  private async fetch (): Promise<unknown> {
    const response = await request(this.address, { signal: AbortSignal.timeout(this.timeoutMs) })
    return await response.body.json()
  }
}
