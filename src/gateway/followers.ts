import type { Follower } from '../store/index.js'

/** The followers of the tables that this host follows in the store. */
export class Followers {
  private readonly followers = new Map<string, Follower>()
  private usesLongPolls = false
  private isPaused = false

  /**
   * @param table - name of a table
   * @returns whether it is followed
   */
  has (table: string): boolean {
    return this.followers.has(table)
  }

  /**
   * Adds the follower of a table.
   *
   * @param table - name of the table
   * @param follower - its follower
   */
  add (table: string, follower: Follower): void {
    follower.setLongPolls(this.usesLongPolls)
    follower.setPaused(this.isPaused)
    this.followers.set(table, follower)
  }

  /** @param usesLongPolls - whether another host reveals changes that polls of this host miss */
  setLongPolls (usesLongPolls: boolean): void {
    this.usesLongPolls = usesLongPolls
    for (const follower of this.followers.values()) follower.setLongPolls(usesLongPolls)
  }

  /** @param isPaused - whether another host sends all changes */
  setPaused (isPaused: boolean): void {
    this.isPaused = isPaused
    for (const follower of this.followers.values()) follower.setPaused(isPaused)
  }

  /** @param tables - names of tables whose connections may be stalled; all if left out */
  restart (tables: Iterable<string> = this.followers.keys()): void {
    for (const table of tables) this.followers.get(table)?.restart()
  }

  /** Stops following all tables. */
  close (): void {
    for (const follower of this.followers.values()) follower.close()
  }

  /** When the store last responded, in milliseconds of monotonic time; undefined if it never did. */
  get lastAnsweredAt (): number | undefined {
    const times = [...this.followers.values()].map(follower => follower.lastAnsweredAt).filter(at => at !== undefined)
    return times.length === 0 ? undefined : Math.max(...times)
  }

  /**
   * @param now - monotonic time, in milliseconds
   * @returns the state of the calls to the store by table, for diagnosis by operators
   */
  dump (now: number): Readonly<Record<string, unknown>> {
    return Object.fromEntries([...this.followers].map(([table, follower]) => [table, follower.dump(now)]))
  }
}
