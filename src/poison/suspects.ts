/** Servers that one request may crash before it is refused. */
export const CRASHES_TO_CONVICT = 2

const GREATEST_ENTRIES = 4_096

interface Suspect {
  readonly servers: ReadonlySet<string>
  readonly at: number
}

/**
 * Requests that ran on servers when these crashed, by the hash of their body,
 * within a time and a number of entries. One crash makes a suspect, since
 * innocent requests ran there too; crashes of several servers convict.
 */
export class Suspects {
  private readonly suspects = new Map<string, Suspect>()

  /**
   * @param retentionMs - how long a crash is remembered, in milliseconds
   * @param crashesToConvict - how many servers convict
   */
  constructor (private readonly retentionMs: number, private readonly crashesToConvict = CRASHES_TO_CONVICT) {}

  /** How many requests are remembered. */
  get size (): number {
    return this.suspects.size
  }

  /**
   * Notes that a server crashed while it ran a request.
   *
   * @param fingerprint - hash of the request's body
   * @param server - the server
   * @param now - the present time, in milliseconds since the epoch
   */
  note (fingerprint: string, server: string, now: number): void {
    const before = this.present(fingerprint, now)
    this.suspects.delete(fingerprint)
    this.suspects.set(fingerprint, { servers: new Set([...before, server]), at: now })
    if (this.suspects.size <= GREATEST_ENTRIES) return
    const oldest = this.suspects.keys().next().value
    if (oldest !== undefined) this.suspects.delete(oldest)
  }

  /**
   * @param fingerprint - hash of a request's body
   * @param now - the present time, in milliseconds since the epoch
   * @returns whether the request crashed so many servers that it is refused
   */
  isConvicted (fingerprint: string, now: number): boolean {
    return this.present(fingerprint, now).size >= this.crashesToConvict
  }

  private present (fingerprint: string, now: number): ReadonlySet<string> {
    const suspect = this.suspects.get(fingerprint)
    return suspect === undefined || suspect.at <= now - this.retentionMs ? new Set() : suspect.servers
  }
}
