import type { ResponseBuffer } from './buffer.js'

interface CacheEntry {
  readonly response: ResponseBuffer
  readonly storedAt: number
}

/**
 * Caches finished responses for callers that retry a request. Entries are
 * evicted, oldest first, by age and by total size.
 */
export class ResponseCache {
  private readonly entries = new Map<string, CacheEntry>()
  private totalBytes = 0

  /**
   * @param maxBytes - total size at which the oldest responses are evicted, in bytes
   * @param retentionMs - age at which a response is evicted, in milliseconds
   */
  constructor (private readonly maxBytes: number, private readonly retentionMs: number) {}

  /** Number of responses cached. */
  get count (): number {
    return this.entries.size
  }

  /** Total size of the cached responses, in bytes. */
  get bytes (): number {
    return this.totalBytes
  }

  /**
   * @param responseId - id of the response
   * @returns the finished response, or undefined if it is not cached
   */
  get (responseId: string): ResponseBuffer | undefined {
    return this.entries.get(responseId)?.response
  }

  /**
   * Caches a response and evicts those that are too old or exceed the size limit.
   *
   * @param response - a finished response
   * @param now - the current time, in milliseconds since the epoch
   */
  add (response: ResponseBuffer, now: number): void {
    this.entries.set(response.responseId, { response, storedAt: now })
    this.totalBytes += response.bytes
    this.evict(now)
  }

  /**
   * Evicts responses that are too old or exceed the size limit.
   *
   * @param now - the current time, in milliseconds since the epoch
   */
  evict (now: number): void {
    for (const [responseId, entry] of this.entries) {
      if (this.totalBytes <= this.maxBytes && entry.storedAt > now - this.retentionMs) break
      this.entries.delete(responseId)
      this.totalBytes -= entry.response.bytes
    }
  }
}
