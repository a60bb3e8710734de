/** Runs tasks for one key one after the other, and tasks for different keys side by side. */
export class KeyLock {
  private readonly tails = new Map<string, Promise<unknown>>()

  /**
   * @param key - tasks with the same key do not overlap
   * @param task - what to run
   * @returns what the task returns
   */
  async run<Value> (key: string, task: () => Promise<Value>): Promise<Value> {
    const before = this.tails.get(key) ?? Promise.resolve()
    const turn = before.then(task, task)
    this.tails.set(key, turn)
    try {
      return await turn
    } finally {
      if (this.tails.get(key) === turn) this.tails.delete(key)
    }
  }
}
