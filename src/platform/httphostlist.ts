import { errAsync, okAsync, ResultAsync } from 'neverthrow'
import { request } from 'undici'
import { z } from 'zod'
import { readText, toError } from '../base/index.js'
import { PlatformFailure } from './failure.js'
import type { HostList, ListedHost } from './hostlist.js'

/** Longest list, in bytes; room for tens of thousands of hosts. */
const MAX_LIST_BYTES = 4 << 20

const hostListSchema = z.array(z.object({ host: z.string(), leaving: z.boolean() }))

/** A host list that is read as JSON over HTTP. */
export class HttpHostList implements HostList {
  /**
   * @param address - URL of the list
   * @param timeoutMs - timeout of a call, in milliseconds
   */
  constructor (private readonly address: string, private readonly timeoutMs: number) {}

  list (): ResultAsync<ListedHost[], PlatformFailure> {
    const toFailure = (thrown: unknown) => new PlatformFailure(
      { code: 'outage', cause: toError(thrown) }, `host list ${this.address}: ${toError(thrown).message}`)
    return ResultAsync.fromPromise(this.fetch(), toFailure)
      .andThen((body): ResultAsync<ListedHost[], PlatformFailure> => {
        const parsed = hostListSchema.safeParse(body)
        return parsed.success ? okAsync(parsed.data) : errAsync(toFailure(parsed.error))
      })
  }

  private async fetch (): Promise<unknown> {
    const response = await request(this.address, { signal: AbortSignal.timeout(this.timeoutMs) })
    return JSON.parse(await readText(response.body, MAX_LIST_BYTES))
  }
}
