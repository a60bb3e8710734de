import type Logger from 'bunyan'
import { err, ok, type Result } from 'neverthrow'
import { type Clock, Failure, uuidV7 } from '../base/index.js'
import { type ChangeStep, Configuration, type ConfigurationChange } from '../config/index.js'
import type { Journal, Revisioned } from '../journal/index.js'
import { MAX_RETAINED_ENTRIES, type ReplicatedLog } from './log.js'

/**
 * A configuration change was not accepted:
 * - `conflict`: another change was appended first; no step of this one was applied.
 * - `invalid`: the change can't be applied to the configuration.
 * - `unknown`: the table did not answer; the configuration history shows whether the change was appended.
 */
export class ChangeFailure extends Failure<'conflict' | 'invalid' | 'unknown'> {}

/** This host's copy of the configuration log: applies new entries and appends changes. */
export class ConfigurationLog implements ReplicatedLog {
  private current = Configuration.empty
  private readonly entries: Array<Revisioned<ConfigurationChange>> = []
  private readonly listeners: Array<(configuration: Configuration) => void> = []

  /**
   * @param journal - the configuration log in the table
   * @param clock - source of the time and the id of appended changes
   * @param log - receives an error for each entry that can't be applied
   */
  constructor (
    private readonly journal: Journal<ConfigurationChange>, private readonly clock: Clock, private readonly log: Logger
  ) {}

  /** The configuration after the last entry applied. */
  get configuration (): Configuration {
    return this.current
  }

  get revision (): number {
    return this.current.revision
  }

  /** The most recent changes, oldest first; at most {@link MAX_RETAINED_ENTRIES}. */
  get history (): ReadonlyArray<Revisioned<ConfigurationChange>> {
    return this.entries
  }

  /** @param listener - called with the new configuration after each change */
  onChange (listener: (configuration: Configuration) => void): void {
    this.listeners.push(listener)
  }

  entriesSince (revision: number): Array<{ revision: number, body: string }> {
    return this.entries.filter(revisioned => revisioned.revision > revision)
      .map(({ revision, entry }) => ({ revision, body: JSON.stringify(entry) }))
  }

  receive (entries: ReadonlyArray<{ revision: number, body: string }>): void {
    this.apply(entries.map(({ revision, body }) => ({ revision, entry: JSON.parse(body) as ConfigurationChange })))
  }

  async poll (): Promise<boolean> {
    for (;;) {
      const read = await this.journal.readAfter(this.current.revision)
      if (read.isErr()) return false
      if (read.value.length === 0) return true
      this.apply(read.value)
    }
  }

  /**
   * Appends a change to the log. The change is accepted once the table has stored it.
   *
   * @param operator - the name of the operator who submits it
   * @param steps - the steps of the change; either all or none are applied
   * @param revision - the configuration revision that the change is based on
   * @returns the revision of the change, or why it was not accepted
   */
  async submit (
    operator: string, steps: readonly ChangeStep[], revision: number
  ): Promise<Result<number, ChangeFailure>> {
    await this.poll()
    if (revision !== this.current.revision) return err(conflict(revision, this.current.revision))
    const checked = this.current.apply(steps)
    if (checked.isErr()) return err(new ChangeFailure('ChangeFailure', { code: 'invalid' }, checked.error.message))
    const now = this.clock.now()
    const changes: ConfigurationChange = { id: uuidV7(now), by: operator, at: now, steps }
    const appended = await this.journal.append(revision + 1, changes)
    if (appended.isErr()) {
      if (appended.error.code === 'conflict') return err(conflict(revision, revision + 1))
      const message = 'the table did not answer; check the configuration history to see whether the change was applied'
      return err(new ChangeFailure('ChangeFailure', { code: 'unknown', cause: appended.error }, message))
    }
    this.apply([{ revision: revision + 1, entry: changes }])
    return ok(revision + 1)
  }

  private apply (entries: ReadonlyArray<Revisioned<ConfigurationChange>>): void {
    const before = this.current
    for (const revisioned of entries) {
      if (revisioned.revision !== this.current.revision + 1) continue
      const next = this.current.apply(revisioned.entry.steps)
      if (next.isErr()) {
        this.log.error({ revision: revisioned.revision }, next.error.message)
        return
      }
      this.current = next.value
      this.entries.push(revisioned)
      if (this.entries.length > MAX_RETAINED_ENTRIES) this.entries.shift()
    }
    if (this.current !== before) for (const listener of this.listeners) listener(this.current)
  }
}

function conflict (base: number, current: number): ChangeFailure {
  const message = `the change is based on revision ${base}, but the current revision is ${current}`
  return new ChangeFailure('ChangeFailure', { code: 'conflict' }, message)
}
