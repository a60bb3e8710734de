import type Logger from 'bunyan'
import { type Clock, timeId, toError } from '../base/index.js'
import type { Journal, Stamped } from '../journal/index.js'
import { type Entry, type Member, type Testimony, View, Watch } from '../member/index.js'
import { KEPT_ENTRIES, type Log } from './log.js'

/** What the members of one host work with. */
export interface MembersTools {
  readonly self: () => Member
  readonly journal: Journal<Entry>
  readonly clock: Clock
  readonly log: Logger
  readonly retentionMs: number
}

type Draft = { step: 'join', member: Member, recovers?: string } | { step: 'leave' | 'gone' | 'fail', member: string }

const APPEND_TRIES = 8
const APPEND_PAUSE_MS = 200

/** Follows the membership log and appends to it. */
export class Members implements Log {
  private present = View.empty
  private readonly listeners: Array<(before: View, after: View) => void> = []
  readonly watch: Watch
  /** Entries applied, for hosts that can't reach the table. */
  private readonly entries: Array<Stamped<Entry>> = []

  /** @param tools - what it works with */
  constructor (private readonly tools: MembersTools) {
    this.watch = new Watch(() => tools.self().id)
  }

  /** The view in force. */
  get view (): View {
    return this.present
  }

  get revision (): number {
    return this.present.revision
  }

  /** @param listener - called after each change of the view */
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
      const read = await this.tools.journal.since(this.present.revision)
      if (read.isErr()) return false
      if (read.value.length === 0) return true
      this.apply(read.value)
    }
  }

  /**
   * Appends a step to the log, unless the log makes it pointless first.
   *
   * @param draft - the step
   * @returns whether the step stands, by this host or another
   */
  async append (draft: Draft): Promise<boolean> {
    const id = timeId(this.tools.clock.now())
    for (let tries = 0; tries < APPEND_TRIES; tries++) {
      if (await this.poll()) {
        if (this.isDone(draft)) return true
        const entry = { ...draft, id, by: this.tools.self().id, at: this.tools.clock.now() } as Entry
        const appended = await this.tools.journal.append(this.present.revision + 1, entry)
        if (appended.isOk()) {
          await this.poll()
          return true
        }
      }
      await this.tools.clock.sleep(APPEND_PAUSE_MS * (tries + 1))
    }
    this.tools.log.warn({ step: draft.step }, 'could not append to the membership log')
    return false
  }

  /**
   * Judges a suspect by what others said, and logs its failure if it is dead.
   *
   * @param member - the suspect
   * @param testimony - what the vouchers said
   */
  async judge (member: string, testimony: Testimony): Promise<void> {
    if (!this.watch.isDead(member, testimony, this.tools.clock.now())) return
    this.tools.log.warn({ member }, 'member found dead')
    await this.append({ step: 'fail', member })
  }

  private isDone (draft: Draft): boolean {
    if (draft.step === 'join') return this.present.members.has(draft.member.id)
    if (draft.step === 'leave') return !this.present.isLive(draft.member)
    return !this.present.members.has(draft.member)
  }

  private apply (entries: ReadonlyArray<Stamped<Entry>>): void {
    const before = this.present
    let after = before
    for (const stamped of entries) {
      if (stamped.revision !== after.revision + 1) continue
      after = after.apply(stamped, this.tools.retentionMs)
      this.entries.push(stamped)
      if (this.entries.length > KEPT_ENTRIES) this.entries.shift()
    }
    if (after === before) return
    this.present = after
    this.watch.follow(after, this.tools.clock.now())
    for (const listener of this.listeners) this.tell(listener, before, after)
  }

  private tell (listener: (before: View, after: View) => void, before: View, after: View): void {
    try {
      listener(before, after)
    } catch (thrown) {
      this.tools.log.error({ err: toError(thrown) }, 'a follower of the view failed')
    }
  }
}
