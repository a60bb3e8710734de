/** Runs tasks for the same key one after the other, and tasks for different keys concurrently. */
export class KeyLock {
  private readonly tails = new Map<string, Promise<unknown>>()

  /**
   * Runs a task once all earlier tasks for its key have ended.
   *
   * @param key - tasks with the same key do not overlap
   * @param task - called once; may reject without effect on later tasks
   * @returns the task's result
   */
  async run<Value> (key: string, task: () => Promise<Value>): Promise<Value> {
    const previous = this.tails.get(key) ?? Promise.resolve()
    const current = previous.then(task, task)
    this.tails.set(key, current)
    try {
      return await current
    } finally {
      if (this.tails.get(key) === current) this.tails.delete(key)
    }
  }
}
