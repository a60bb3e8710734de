import { SECOND_MS } from '../base/index.js'
import type { ReplyHandler } from './connection.js'

/**
 * A host that was not heard from for this long may use another scheduler, in milliseconds. Hosts ping at least once a
 * second.
 */
const HEARD_WITHIN_MS = 1_200

/**
 * Time after which a connected host is settled, in milliseconds: its earlier scheduler has ceased to count it, and what
 * that one granted has left the window of a second over which requests to servers are bounded.
 */
const SETTLED_AFTER_MS = HEARD_WITHIN_MS + SECOND_MS + 300

interface HostLink {
  readonly onReply: ReplyHandler
  /** A value of `Protocol`. */
  readonly protocol: number
  readonly openedAt: number
  heardAt: number
}

/** The connections of hosts to the scheduler of this process. */
export class HostLinks {
  private readonly links = new Map<string, HostLink>()

  /**
   * @param host - name of a host that has connected
   * @param onReply - called with each reply to it
   * @param protocol - a value of `Protocol`, which it states
   * @param now - monotonic time, in milliseconds
   */
  open (host: string, onReply: ReplyHandler, protocol: number, now: number): void {
    this.links.set(host, { onReply, protocol, openedAt: now, heardAt: now })
  }

  /** @param host - name of a host that has disconnected */
  close (host: string): void {
    this.links.delete(host)
  }

  /**
   * @param host - name of a host that has sent a message
   * @param now - monotonic time, in milliseconds
   */
  recordMessage (host: string, now: number): void {
    const link = this.links.get(host)
    if (link !== undefined) link.heardAt = now
  }

  /** Names of the connected hosts. */
  get hosts (): string[] {
    return [...this.links.keys()]
  }

  /**
   * @param host - name of a host
   * @returns its reply handler; undefined if it is not connected
   */
  replyHandler (host: string): ReplyHandler | undefined {
    return this.links.get(host)?.onReply
  }

  /**
   * @param host - name of a host
   * @returns its protocol; 0 if it is not connected
   */
  protocol (host: string): number {
    return this.links.get(host)?.protocol ?? 0
  }

  /**
   * Counts the hosts that use this scheduler and that no other scheduler counts at the same time.
   *
   * @param now - monotonic time, in milliseconds
   * @returns their number
   */
  settledCount (now: number): number {
    let count = 0
    for (const { openedAt, heardAt } of this.links.values()) {
      if (now - openedAt >= SETTLED_AFTER_MS && now - heardAt <= HEARD_WITHIN_MS) count++
    }
    return count
  }
}
