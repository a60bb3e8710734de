import type Logger from 'bunyan'
import { z } from 'zod'
import { type Clock, parseEndpoint } from '../base/index.js'
import type { Member } from '../dispatch/index.js'
import type { Row, Store } from '../store/index.js'

/** Pause before a failed write is retried, in milliseconds. */
const RETRY_PAUSE_MS = 300

/**
 * Initial and longest timeout of a write, in milliseconds. The initial one is only a few times the response time of a
 * slow store, since hosts that started while the store was unavailable don't know each other.
 */
const INITIAL_WRITE_TIMEOUT_MS = 400
const MAX_WRITE_TIMEOUT_MS = 2_500

const schema = z.object({
  address: z.string().refine(address => parseEndpoint(address) !== undefined),
  cores: z.number().positive().default(1)
})

/** The members of the deployment by their rows in the store, and the writer of this host's own row. */
export class Membership {
  private readonly entries = new Map<string, { readonly member: Member | undefined, readonly revision: number }>()
  private isLeaving = false
  private isJoining = false

  /**
   * @param store - holds the rows
   * @param table - name of the members' table
   * @param self - this host
   * @param clock - waits between writes
   * @param log - logs failed writes and removed members
   */
  constructor (
    private readonly store: Store,
    private readonly table: string,
    private readonly self: Member,
    private readonly clock: Clock,
    private readonly log: Logger
  ) {}

  /** @returns the members, including this host unless it is leaving */
  list (): Member[] {
    const members = new Map<string, Member>()
    for (const { member } of this.entries.values()) if (member !== undefined) members.set(member.host, member)
    if (this.isLeaving) members.delete(this.self.host)
    else members.set(this.self.host, this.self)
    return [...members.values()]
  }

  /**
   * Whether the members' table was read: {@link Membership.list} may be incomplete until this host's own row, or its
   * removal, has been read.
   */
  get isKnown (): boolean {
    return this.entries.has(this.self.host)
  }

  /**
   * Applies a row that is newer than the known row of its key.
   *
   * @param row - a row of the members' table
   */
  apply (row: Row): void {
    this.entries.set(row.key, { member: readMember(row), revision: row.revision })
    // Another host evicted this one as absent.
    if (row.key === this.self.host && row.value === undefined && !this.isLeaving) void this.join()
  }

  /** Writes this host's row again if a list of the table lacks it, as after the store has returned from a copy. */
  restoreOwnRow (): void {
    const isListed = this.entries.get(this.self.host)?.member !== undefined
    if (!isListed && !this.isLeaving && !this.isJoining) void this.join()
  }

  /** Writes this host's row; retries until the write succeeds or the host leaves. */
  async join (): Promise<void> {
    const value = Buffer.from(JSON.stringify({ address: this.self.address, cores: this.self.cores }))
    this.isJoining = true
    await this.write(value, () => !this.isLeaving)
    this.isJoining = false
  }

  /** Removes this host's row. The write is not retried, since closed links show the same to other hosts. */
  async leave (): Promise<void> {
    this.isLeaving = true
    await this.write(undefined, () => false)
  }

  /**
   * Removes the row of an absent host, unless the row has changed meanwhile.
   *
   * @param host - name of the host
   */
  async remove (host: string): Promise<void> {
    const entry = this.entries.get(host)
    if (entry?.member === undefined) return
    const write = { table: this.table, key: host, value: undefined, expectedRevision: entry.revision }
    const removed = await this.store.write([write])
    const reason = removed.isErr() ? removed.error.message : undefined
    this.log.info({ event: 'member-removed', member: host, reason }, 'member-removed')
  }

  private async write (value: Buffer | undefined, shouldRetry: () => boolean): Promise<void> {
    for (let timeoutMs = INITIAL_WRITE_TIMEOUT_MS; ; timeoutMs = Math.min(2 * timeoutMs, MAX_WRITE_TIMEOUT_MS)) {
      const written = await this.store.write([{ table: this.table, key: this.self.host, value }], timeoutMs)
      if (written.isOk()) return
      this.log.warn({ event: 'member-write-failed', reason: written.error.message }, 'member-write-failed')
      if (!shouldRetry()) return
      await this.clock.sleep(RETRY_PAUSE_MS)
      if (!shouldRetry()) return
    }
  }
}

function readMember (row: Row): Member | undefined {
  if (row.value === undefined) return undefined
  try {
    const { address, cores } = schema.parse(JSON.parse(row.value.toString('utf8')))
    return { host: row.key, address, cores }
  } catch {
    // A row in another format, from another writer, describes no member.
    return undefined
  }
}
