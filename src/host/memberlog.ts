import type Logger from 'bunyan'
import { type Clock, toError, uuidV7 } from '../base/index.js'
import type { Journal, Revisioned } from '../journal/index.js'
import {
  FailureDetector, type IndirectProbeResults, type Member, type MembershipEntry, MembershipView
} from '../member/index.js'
import { MAX_RETAINED_ENTRIES, type ReplicatedLog } from './log.js'

/** The dependencies and settings of a {@link MembershipLog}. */
export interface MembershipLogOptions {
  readonly self: () => Member
  readonly journal: Journal<MembershipEntry>
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

/** This host's copy of the membership log: applies new entries, appends steps and monitors other members. */
export class MembershipLog implements ReplicatedLog {
  private current = MembershipView.empty
  private readonly listeners: Array<(before: MembershipView, after: MembershipView) => void> = []
  readonly failureDetector: FailureDetector
  /** The most recent entries applied, for hosts that can't reach the table. */
  private readonly entries: Array<Revisioned<MembershipEntry>> = []

  /** @param options - the log's journal, clock, logger and retention */
  constructor (private readonly options: MembershipLogOptions) {
    this.failureDetector = new FailureDetector(() => options.self().id)
  }

  /** The membership view after the last entry applied. */
  get view (): MembershipView {
    return this.current
  }

  get revision (): number {
    return this.current.revision
  }

  /** @param listener - called with the previous and the new view after each change */
  onChange (listener: (before: MembershipView, after: MembershipView) => void): void {
    this.listeners.push(listener)
  }

  entriesSince (revision: number): Array<{ revision: number, body: string }> {
    return this.entries.filter(revisioned => revisioned.revision > revision)
      .map(({ revision, entry }) => ({ revision, body: JSON.stringify(entry) }))
  }

  receive (entries: ReadonlyArray<{ revision: number, body: string }>): void {
    this.apply(entries.map(({ revision, body }) => ({ revision, entry: JSON.parse(body) as MembershipEntry })))
  }

  async poll (): Promise<boolean> {
    for (;;) {
      const read = await this.options.journal.readAfter(this.current.revision)
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
    const id = uuidV7(this.options.clock.now())
    for (let attempt = 0; attempt < MAX_APPEND_ATTEMPTS; attempt++) {
      if (await this.poll()) {
        if (this.isAlreadyApplied(draft)) return true
        const entry = { ...draft, id, by: this.options.self().id, at: this.options.clock.now() } as MembershipEntry
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
  async logFailureIfDead (member: string, results: IndirectProbeResults): Promise<void> {
    if (!this.failureDetector.hasFailed(member, results, this.options.clock.now())) return
    this.options.log.warn({ member }, 'member is dead; logging it as failed')
    await this.append({ step: 'fail', member })
  }

  private isAlreadyApplied (draft: EntryDraft): boolean {
    if (draft.step === 'join') return this.current.members.has(draft.member.id)
    if (draft.step === 'leave') return !this.current.isLive(draft.member)
    return !this.current.members.has(draft.member)
  }

  private apply (entries: ReadonlyArray<Revisioned<MembershipEntry>>): void {
    const before = this.current
    let after = before
    for (const revisioned of entries) {
      if (revisioned.revision !== after.revision + 1) continue
      after = after.apply(revisioned, this.options.retentionMs)
      this.entries.push(revisioned)
      if (this.entries.length > MAX_RETAINED_ENTRIES) this.entries.shift()
    }
    if (after === before) return
    this.current = after
    this.failureDetector.updateView(after, this.options.clock.now())
    for (const listener of this.listeners) this.notifyListener(listener, before, after)
  }

  private notifyListener (
    listener: (before: MembershipView, after: MembershipView) => void, before: MembershipView, after: MembershipView
  ): void {
    try {
      listener(before, after)
    } catch (thrown) {
      this.options.log.error({ err: toError(thrown) }, 'a listener for view changes threw an error')
    }
  }
}
