import { toError } from './failure.js'

/** Something that was started and must be closed. */
export interface Resource {
  /** Shown when closing fails. */
  name: string
  /** Gives back what the resource holds. */
  close: () => Promise<void> | void
}

/**
 * Owns the clean-up of a process or of a part of it. Resources are closed in
 * the reverse order of their start, each one whatever became of the others.
 */
export class Lifecycle {
  private readonly resources: Resource[] = []
  private closing: Promise<Error[]> | undefined

  /**
   * Takes ownership of a started resource.
   *
   * @param name - shown when closing fails
   * @param close - gives back what the resource holds
   */
  own (name: string, close: Resource['close']): void {
    this.resources.push({ name, close })
  }

  /**
   * Runs a function at a fixed interval until closed.
   *
   * @param name - shown when closing fails
   * @param periodMs - time between two runs, in milliseconds
   * @param run - what to run; a run that is still going on is not overlapped
   */
  every (name: string, periodMs: number, run: () => Promise<void> | void): void {
    let busy = false
    const timer = setInterval(() => {
      if (busy) return
      busy = true
      Promise.resolve().then(run).catch(() => undefined).finally(() => { busy = false })
    }, periodMs)
    this.own(name, () => clearInterval(timer))
  }

  /**
   * Closes everything owned. Later calls wait for the first.
   *
   * @returns the failures met, newest resource first
   */
  close (): Promise<Error[]> {
    this.closing ??= this.closeAll()
    return this.closing
  }

  private async closeAll (): Promise<Error[]> {
    const failures: Error[] = []
    for (const resource of this.resources.reverse()) {
      try {
        await resource.close()
      } catch (thrown) {
        failures.push(new Error(`closing ${resource.name}: ${toError(thrown).message}`))
      }
    }
    return failures
  }
}
