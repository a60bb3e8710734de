const EJECTION_MS = 3_000
const FAILURES_TO_EJECT = 2

interface Worker {
  readonly name: string
  readonly address: string
  /** Number of calls that this host has sent to the worker and that have not ended. */
  pending: number
  /** Number of consecutive failed calls. */
  failures: number
  /** End of the worker's ejection, in milliseconds since the epoch. */
  ejectedUntil: number
}

/** Balances the calls of one plain service over its workers, by the load and failures that this host has observed. */
export class WorkerPool {
  private workers: Worker[] = []
  private rotation = 0

  /**
   * Replaces the workers. A worker whose name and address are unchanged keeps its state.
   *
   * @param servers - names and addresses of the workers that accept new calls
   */
  setWorkers (servers: ReadonlyArray<{ readonly name: string, readonly address: string }>): void {
    const known = new Map(this.workers.map(worker => [worker.name, worker]))
    this.workers = servers.map(({ name, address }) => {
      const existing = known.get(name)
      return existing?.address === address ? existing : { name, address, pending: 0, failures: 0, ejectedUntil: 0 }
    })
  }

  /**
   * Chooses the worker with the fewest pending calls. Ejected workers are chosen only if no other is left.
   *
   * @param tried - names of workers to leave out
   * @param now - the current time, in milliseconds since the epoch
   * @returns the worker's name and address, or undefined if all workers were tried
   */
  choose (tried: ReadonlySet<string>, now: number): { name: string, address: string } | undefined {
    this.rotation++
    let best: Worker | undefined
    for (let i = 0; i < this.workers.length; i++) {
      const worker = this.workers[(i + this.rotation) % this.workers.length]!
      if (tried.has(worker.name)) continue
      if (best === undefined || isPreferred(worker, best, now)) best = worker
    }
    return best === undefined ? undefined : { name: best.name, address: best.address }
  }

  /** @param name - the worker that a call is about to be sent to */
  recordSend (name: string): void {
    const worker = this.find(name)
    if (worker !== undefined) worker.pending++
  }

  /**
   * Records that a call ended, and ejects the worker after too many consecutive failures.
   *
   * @param name - the worker that the call was sent to
   * @param hasSucceeded - whether the call counts as a success of the worker
   * @param now - the current time, in milliseconds since the epoch
   */
  recordOutcome (name: string, hasSucceeded: boolean, now: number): void {
    const worker = this.find(name)
    if (worker === undefined) return
    worker.pending--
    worker.failures = hasSucceeded ? 0 : worker.failures + 1
    if (worker.failures >= FAILURES_TO_EJECT) worker.ejectedUntil = now + EJECTION_MS
  }

  private find (name: string): Worker | undefined {
    return this.workers.find(worker => worker.name === name)
  }
}

function isPreferred (a: Worker, b: Worker, now: number): boolean {
  const isAEjected = a.ejectedUntil > now
  const isBEjected = b.ejectedUntil > now
  if (isAEjected !== isBEjected) return isBEjected
  return a.pending < b.pending
}
