import type Logger from 'bunyan'
import { type Clock, timeId, toError } from '../base/index.js'
import type { Journal, Stamped } from '../journal/index.js'
import { type Entry, type Member, type Testimony, View, Watch } from '../member/index.js'
import { MAX_RETAINED_ENTRIES, type ReplicatedLog } from './log.js'

/** What a host's copy of the membership log works with. */
export interface MembershipLogOptions {
  readonly self: () => Member
  readonly journal: Journal<Entry>
  readonly clock: Clock
  readonly log: Logger
  readonly retentionMs: number
}

type EntryDraft =
  | { step: 'join', member: Member, recovers?: string }
  | { step: 'leave' | 'gone' | 'fail', member: string }

const MAX_APPEND_ATTEMPTS = 8
/** Delay after the first failed attempt to append, in milliseconds; it grows linearly with the attempts. */
const APPEND_RETRY_DELAY_MS = 200

/** This host's copy of the membership log: applies new entries, appends steps and watches other members. */
export class MembershipLog implements ReplicatedLog {
  private current = View.empty
  private readonly listeners: Array<(before: View, after: View) => void> = []
  readonly watch: Watch
  /** The most recent entries applied, for hosts that can't reach the table. */
  private readonly entries: Array<Stamped<Entry>> = []

  /** @param options - the log's journal, clock, logger and retention */
  constructor (private readonly options: MembershipLogOptions) {
    this.watch = new Watch(() => options.self().id)
  }

  /** The membership view after the last entry applied. */
  get view (): View {
    return this.current
  }

  get revision (): number {
    return this.current.revision
  }

  /** @param listener - called with the previous and the new view after each change */
  onChange (listener: (before: View, after: View) => void): void {
    this.listeners.push(listener)
  }

  since (revision: number): Array<{ revision: number, body: string }> {
    return this.entries.filter(stamped => stamped.revision > revision)
      .map(({ revision, entry }) => ({ revision, body: JSON.stringify(entry) }))
  }

  receive (entries: ReadonlyArray<{ revision: number, body: string }>): void {
    this.apply(entries.map(({ revision, body }) => ({ revision, entry: JSON.parse(body) as Entry })))
  }

  async poll (): Promise<boolean> {
    for (;;) {
      const read = await this.options.journal.since(this.current.revision)
      if (read.isErr()) return false
      if (read.value.length === 0) return true
      this.apply(read.value)
    }
  }

  /**
   * Appends a step to the log, with retries, unless the current view already includes its effect.
   *
   * @param draft - the step, without id, author and time
   * @returns whether the log contains the step, appended by this host or another
   */
  async append (draft: EntryDraft): Promise<boolean> {
    const id = timeId(this.options.clock.now())
    for (let attempt = 0; attempt < MAX_APPEND_ATTEMPTS; attempt++) {
      if (await this.poll()) {
        if (this.isAlreadyApplied(draft)) return true
        const entry = { ...draft, id, by: this.options.self().id, at: this.options.clock.now() } as Entry
        const appended = await this.options.journal.append(this.current.revision + 1, entry)
        if (appended.isOk()) {
          await this.poll()
          return true
        }
      }
      await this.options.clock.sleep(APPEND_RETRY_DELAY_MS * (attempt + 1))
    }
    this.options.log.warn({ step: draft.step }, 'could not append a step to the membership log')
    return false
  }

  /**
   * Logs a suspect as failed if the indirect probes show that it is dead.
   *
   * @param member - the id of the suspected member
   * @param results - the results of the indirect probes
   */
  async logFailureIfDead (member: string, results: Testimony): Promise<void> {
    if (!this.watch.isDead(member, results, this.options.clock.now())) return
    this.options.log.warn({ member }, 'member is dead; logging it as failed')
    await this.append({ step: 'fail', member })
  }

  private isAlreadyApplied (draft: EntryDraft): boolean {
    if (draft.step === 'join') return this.current.members.has(draft.member.id)
    if (draft.step === 'leave') return !this.current.isLive(draft.member)
    return !this.current.members.has(draft.member)
  }

  private apply (entries: ReadonlyArray<Stamped<Entry>>): void {
    const before = this.current
    let after = before
    for (const stamped of entries) {
      if (stamped.revision !== after.revision + 1) continue
      after = after.apply(stamped, this.options.retentionMs)
      this.entries.push(stamped)
      if (this.entries.length > MAX_RETAINED_ENTRIES) this.entries.shift()
    }
    if (after === before) return
    this.current = after
    this.watch.follow(after, this.options.clock.now())
    for (const listener of this.listeners) this.notifyListener(listener, before, after)
  }

  private notifyListener (listener: (before: View, after: View) => void, before: View, after: View): void {
    try {
      listener(before, after)
    } catch (thrown) {
      this.options.log.error({ err: toError(thrown) }, 'a listener for view changes threw an error')
    }
  }
}
