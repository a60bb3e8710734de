import type Logger from 'bunyan'
import type { CrashObserver, CrashReport } from '../poison/index.js'

/** Logs crashes of servers and the prompt parts that are blocked for them. */
export class CrashLog implements CrashObserver {
  /** @param log - the process's log */
  constructor (private readonly log: Logger) {}

  serverCrashed (report: CrashReport): void {
    this.log.info({ event: 'server-crashed', ...report }, 'server-crashed')
  }

  partBlocked (part: string): void {
    this.log.warn({ event: 'part-blocked', part }, 'part-blocked')
  }

  partUnblocked (part: string): void {
    this.log.warn({ event: 'part-unblocked', part }, 'part-unblocked')
  }
}
