const EJECTION_MS = 3_000
const FAILURES_TO_EJECT = 2

interface Worker {
  readonly name: string
  readonly address: string
  pending: number
  failures: number
  until: number
}

/** Chooses among the workers of one plain service, by what this host has seen of them. */
export class Pool {
  private workers: Worker[] = []
  private turn = 0

  /**
   * Takes up the workers as configured.
   *
   * @param servers - names and addresses of workers that take new work
   */
  follow (servers: ReadonlyArray<{ readonly name: string, readonly address: string }>): void {
    const known = new Map(this.workers.map(worker => [worker.name, worker]))
    this.workers = servers.map(({ name, address }) => {
      const before = known.get(name)
      return before?.address === address ? before : { name, address, pending: 0, failures: 0, until: 0 }
    })
  }

  /**
   * Chooses the worker with the fewest pending calls; failing ones come last.
   *
   * @param tried - names of workers not to choose again
   * @param now - the present time, in milliseconds since the epoch
   * @returns the worker's name and address, or undefined if all were tried
   */
  choose (tried: ReadonlySet<string>, now: number): { name: string, address: string } | undefined {
    this.turn++
    let best: Worker | undefined
    for (let i = 0; i < this.workers.length; i++) {
      const worker = this.workers[(i + this.turn) % this.workers.length]!
      if (tried.has(worker.name)) continue
      if (best === undefined || isBetter(worker, best, now)) best = worker
    }
    return best === undefined ? undefined : { name: best.name, address: best.address }
  }

  /** @param name - the worker that a call goes to */
  sent (name: string): void {
    const worker = this.find(name)
    if (worker !== undefined) worker.pending++
  }

  /**
   * Notes how a call went.
   *
   * @param name - the worker it went to
   * @param isWell - whether a whole answer came
   * @param now - the present time, in milliseconds since the epoch
   */
  done (name: string, isWell: boolean, now: number): void {
    const worker = this.find(name)
    if (worker === undefined) return
    worker.pending--
    worker.failures = isWell ? 0 : worker.failures + 1
    if (worker.failures >= FAILURES_TO_EJECT) worker.until = now + EJECTION_MS
  }

  private find (name: string): Worker | undefined {
    return this.workers.find(worker => worker.name === name)
  }
}

function isBetter (a: Worker, b: Worker, now: number): boolean {
  const aOut = a.until > now
  const bOut = b.until > now
  if (aOut !== bOut) return bOut
  return a.pending < b.pending
}
