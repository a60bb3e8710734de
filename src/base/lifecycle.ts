import { toError } from './failure.js'

/** A started resource that must be closed. */
export interface Resource {
  /** Name used in the error if closing fails. */
  name: string
  /** Releases the resource. */
  close: () => Promise<void> | void
}

/**
 * Closes the resources of a process or component in reverse order of their
 * registration. A failure to close one does not prevent closing the others.
 */
export class Lifecycle {
  private readonly resources: Resource[] = []
  private closing: Promise<Error[]> | undefined

  /**
   * Registers a started resource.
   *
   * @param name - name used in the error if closing fails
   * @param close - releases the resource
   */
  onClose (name: string, close: Resource['close']): void {
    this.resources.push({ name, close })
  }

  /**
   * Runs a function at a fixed interval until `close`. Errors of the function are ignored.
   *
   * @param name - name used in the error if closing fails
   * @param periodMs - interval in milliseconds
   * @param run - the function; an interval is skipped while the previous run is in progress
   */
  runEvery (name: string, periodMs: number, run: () => Promise<void> | void): void {
    let isRunning = false
    const timer = setInterval(() => {
      if (isRunning) return
      isRunning = true
      Promise.resolve().then(run).catch(() => undefined).finally(() => { isRunning = false })
    }, periodMs)
    this.onClose(name, () => clearInterval(timer))
  }

  /**
   * Closes all resources. Later calls return the promise of the first.
   *
   * @returns the errors of resources that failed to close, in order of closing
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
