import { CrashHistory } from './history.js'

/** A server lost within this time after a connection to it broke is assumed to have crashed, in milliseconds. */
const CRASH_WINDOW_MS = 3_000

/** How long a crash counts against a request, in milliseconds. */
const RETENTION_MS = 120_000

/** Number of servers that a request must have crashed before it is refused. */
const REFUSAL_THRESHOLD = 3

/** Number of requests with a broken connection that are kept in case their server is found lost. */
const MAX_DISCONNECTED_REQUESTS = 1_024

interface DisconnectedRequest {
  readonly fingerprint: string
  readonly server: string
  readonly disconnectedAt: number
}

/**
 * Detects requests that crash servers. A broken connection alone is no evidence of a crash: the server must be lost
 * right after it.
 */
export class PoisonDetector {
  private readonly history = new CrashHistory(RETENTION_MS, REFUSAL_THRESHOLD)
  private disconnectedRequests: DisconnectedRequest[] = []

  /**
   * Records a request whose connection to its server broke.
   *
   * @param fingerprint - fingerprint of the request
   * @param server - id of the server that ran it
   * @param now - monotonic time, in milliseconds
   */
  recordDisconnect (fingerprint: string, server: string, now: number): void {
    this.disconnectedRequests.push({ fingerprint, server, disconnectedAt: now })
    if (this.disconnectedRequests.length > MAX_DISCONNECTED_REQUESTS) this.disconnectedRequests.shift()
  }

  /**
   * Records that a server is unreachable or was restarted, and attributes the crash to the requests whose connections
   * to it broke shortly before.
   *
   * @param server - id of the server
   * @param now - monotonic time, in milliseconds
   */
  recordServerLoss (server: string, now: number): void {
    const [ofServer, ofOthers] = [[] as DisconnectedRequest[], [] as DisconnectedRequest[]]
    for (const request of this.disconnectedRequests) (request.server === server ? ofServer : ofOthers).push(request)
    this.disconnectedRequests = ofOthers
    for (const { fingerprint, disconnectedAt } of ofServer) {
      if (now - disconnectedAt <= CRASH_WINDOW_MS) this.history.recordCrash(fingerprint, server, now)
    }
  }

  /**
   * @param fingerprint - fingerprint of a request
   * @param now - monotonic time, in milliseconds
   * @returns whether the request crashed so many servers that it must be refused
   */
  isPoison (fingerprint: string, now: number): boolean {
    return this.history.isPoison(fingerprint, now)
  }
}
