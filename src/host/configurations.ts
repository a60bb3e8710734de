import type Logger from 'bunyan'
import { err, ok, type Result } from 'neverthrow'
import { type Clock, Failure, timeId } from '../base/index.js'
import { type Change, type Changes, Configuration } from '../config/index.js'
import type { Journal, Stamped } from '../journal/index.js'
import { KEPT_ENTRIES, type Log } from './log.js'

/**
 * Why a change of configuration was not accepted:
 * - `conflict`: another change came first; nothing of this one stands.
 * - `invalid`: the change can't be applied to the configuration.
 * - `unknown`: the table did not answer; the history will tell whether it stands.
 */
export class ChangeFailure extends Failure<'conflict' | 'invalid' | 'unknown'> {}

/** Follows the configuration log and appends to it. */
export class Configurations implements Log {
  private present = Configuration.empty
  private readonly entries: Array<Stamped<Changes>> = []
  private readonly listeners: Array<(configuration: Configuration) => void> = []

  /**
   * @param journal - the log
   * @param clock - the present time
   * @param log - for entries that can't be applied
   */
  constructor (
    private readonly journal: Journal<Changes>, private readonly clock: Clock, private readonly log: Logger
  ) {}

  /** The configuration in force. */
  get configuration (): Configuration {
    return this.present
  }

  get revision (): number {
    return this.present.revision
  }

  /** The latest changes that led here, oldest first. */
  get history (): ReadonlyArray<Stamped<Changes>> {
    return this.entries
  }

  /** @param listener - called after each change */
  onChange (listener: (configuration: Configuration) => void): void {
    this.listeners.push(listener)
  }

  since (revision: number): Array<{ revision: number, body: string }> {
    return this.entries.filter(stamped => stamped.revision > revision)
      .map(({ revision, entry }) => ({ revision, body: JSON.stringify(entry) }))
  }

  receive (entries: ReadonlyArray<{ revision: number, body: string }>): void {
    this.apply(entries.map(({ revision, body }) => ({ revision, entry: JSON.parse(body) as Changes })))
  }

  async poll (): Promise<boolean> {
    for (;;) {
      const read = await this.journal.since(this.present.revision)
      if (read.isErr()) return false
      if (read.value.length === 0) return true
      this.apply(read.value)
    }
  }

  /**
   * Appends a change. It is accepted once it stands in the table.
   *
   * @param by - who submits it
   * @param steps - the steps, all or none
   * @param revision - the revision that it was decided on
   * @returns the new revision
   */
  async submit (by: string, steps: readonly Change[], revision: number): Promise<Result<number, ChangeFailure>> {
    await this.poll()
    if (revision !== this.present.revision) return err(conflict(revision, this.present.revision))
    const checked = this.present.apply(steps)
    if (checked.isErr()) return err(new ChangeFailure('ChangeFailure', { code: 'invalid' }, checked.error.message))
    const now = this.clock.now()
    const changes: Changes = { id: timeId(now), by, at: now, steps }
    const appended = await this.journal.append(revision + 1, changes)
    if (appended.isErr()) {
      if (appended.error.code === 'conflict') return err(conflict(revision, revision + 1))
      const message = 'the table did not answer; the history will tell whether the change stands'
      return err(new ChangeFailure('ChangeFailure', { code: 'unknown', cause: appended.error }, message))
    }
    this.apply([{ revision: revision + 1, entry: changes }])
    return ok(revision + 1)
  }

  private apply (entries: ReadonlyArray<Stamped<Changes>>): void {
    const before = this.present
    for (const stamped of entries) {
      if (stamped.revision !== this.present.revision + 1) continue
      const next = this.present.apply(stamped.entry.steps)
      if (next.isErr()) {
        this.log.error({ revision: stamped.revision }, next.error.message)
        return
      }
      this.present = next.value
      this.entries.push(stamped)
      if (this.entries.length > KEPT_ENTRIES) this.entries.shift()
    }
    if (this.present !== before) for (const listener of this.listeners) listener(this.present)
  }
}

function conflict (wanted: number, present: number): ChangeFailure {
  const message = `the change was made for revision ${wanted}, but revision ${present} is in force`
  return new ChangeFailure('ChangeFailure', { code: 'conflict' }, message)
}
