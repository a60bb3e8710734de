import type Logger from 'bunyan'
import { z } from 'zod'
import type { Clock } from '../base/index.js'
import type { Member } from '../dispatch/index.js'
import type { Row, Store } from '../store/index.js'

/** Pause before a write that failed is tried again, in milliseconds. */
const RETRY_MS = 300

/**
 * First and longest time that the answer to a write may take, in milliseconds: at first some times an answer of a slow
 * store, since hosts that started without it do not know each other.
 */
const FIRST_ANSWER_MS = 400
const LONGEST_ANSWER_MS = 2_500

const schema = z.object({ address: z.string(), cores: z.number().positive().default(1) })

/** This host's row among the members, and the rows of the others. */
export class Membership {
  private readonly known = new Map<string, { readonly member: Member | undefined, readonly revision: number }>()
  private isLeaving = false

  /**
   * @param store - keeps the rows
   * @param table - the members' table
   * @param self - this host
   * @param clock - waits
   * @param log - told of writes that fail
   */
  constructor (
    private readonly store: Store,
    private readonly table: string,
    private readonly self: Member,
    private readonly clock: Clock,
    private readonly log: Logger
  ) {}

  /** @returns the members, this host among them unless it leaves */
  list (): Member[] {
    const members = new Map<string, Member>()
    for (const { member } of this.known.values()) if (member !== undefined) members.set(member.host, member)
    if (this.isLeaving) members.delete(this.self.host)
    else members.set(this.self.host, this.self)
    return [...members.values()]
  }

  /**
   * Takes a row that is newer than what is known of its key.
   *
   * @param row - a row of the members' table
   */
  apply (row: Row): void {
    this.known.set(row.key, { member: readMember(row), revision: row.revision })
    // Another host took this one for gone.
    if (row.key === this.self.host && row.value === undefined && !this.isLeaving) void this.join()
  }

  /** Writes this host's row, until it is written. */
  async join (): Promise<void> {
    const value = Buffer.from(JSON.stringify({ address: this.self.address, cores: this.self.cores }))
    await this.write(value, () => !this.isLeaving)
  }

  /** Removes this host's row; one try, since links tell the same. */
  async leave (): Promise<void> {
    this.isLeaving = true
    await this.write(undefined, () => false)
  }

  /**
   * Removes the row of a host that is gone for good.
   *
   * @param host - its name
   */
  async remove (host: string): Promise<void> {
    const known = this.known.get(host)
    if (known?.member === undefined) return
    const write = { table: this.table, key: host, value: undefined, expected: known.revision }
    const removed = await this.store.write([write])
    const reason = removed.isErr() ? removed.error.message : undefined
    this.log.info({ event: 'member-removed', member: host, reason }, 'member-removed')
  }

  private async write (value: Buffer | undefined, goesOn: () => boolean): Promise<void> {
    for (let answerMs = FIRST_ANSWER_MS; ; answerMs = Math.min(2 * answerMs, LONGEST_ANSWER_MS)) {
      const written = await this.store.write([{ table: this.table, key: this.self.host, value }], answerMs)
      if (written.isOk()) return
      this.log.warn({ event: 'member-write-failed', reason: written.error.message }, 'member-write-failed')
      if (!goesOn()) return
      await this.clock.sleep(RETRY_MS)
      if (!goesOn()) return
    }
  }
}

function readMember (row: Row): Member | undefined {
  if (row.value === undefined) return undefined
  try {
    const { address, cores } = schema.parse(JSON.parse(row.value.toString('utf8')))
    return { host: row.key, address, cores }
  } catch {
    // A row of another writer names no member.
    return undefined
  }
}
