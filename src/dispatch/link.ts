import type { ClientSessionOptions } from 'node:http2'
import { createClient } from '@connectrpc/connect'
import { createGrpcTransport } from '@connectrpc/connect-node'
import { SendQueue, SessionManager } from '../peer/index.js'
import type { ReplyHandler, SchedulerConnection } from './connection.js'
import { type Ask, Dispatch } from './dispatch_pb.js'
import { createAsk } from './messages.js'
import { CURRENT_PROTOCOL } from './protocol.js'

/** Messages to which a scheduler replies without delay. */
const IMMEDIATE_REPLY_CASES: ReadonlySet<Ask['body']['case']> = new Set(['place', 'ping'])

/** A connection to the scheduler of another host. */
export class Link implements SchedulerConnection {
  private readonly outbox = new SendQueue<Ask>()
  private readonly sessionManager: SessionManager
  private isOpen = true
  /** Whether the link is open and the other host has replied at least once. */
  isUp = false
  /** When a message was last sent, in milliseconds of monotonic time. */
  lastSentAt: number
  /** Since when a reply has been due, in milliseconds of monotonic time; undefined if none is due. */
  replyDueSince: number | undefined

  /**
   * @param host - the name of this host
   * @param ip - the local IP address of the connection
   * @param address - IP address and port of the other host
   * @param onReply - called with each reply
   * @param clock - monotonic time
   * @param onClosed - called once with the reason when the connection ends, whichever side ends it
   */
  constructor (
    host: string,
    ip: string,
    address: string,
    private readonly onReply: ReplyHandler,
    private readonly clock: { now: () => number },
    private readonly onClosed: (reason: string) => void
  ) {
    const baseUrl = `http://${address}`
    this.sessionManager = new SessionManager(baseUrl, {}, { localAddress: ip } as ClientSessionOptions)
    this.lastSentAt = clock.now()
    const transport = createGrpcTransport({ baseUrl, sessionManager: this.sessionManager, acceptCompression: [] })
    const client = createClient(Dispatch, transport)
    this.send(createAsk(0, { case: 'hello', value: { host, protocol: CURRENT_PROTOCOL } }))
    void this.receive(client.link(this.outbox))
  }

  send (ask: Ask): void {
    this.lastSentAt = this.clock.now()
    if (IMMEDIATE_REPLY_CASES.has(ask.body.case)) this.replyDueSince ??= this.lastSentAt
    this.outbox.push(ask)
  }

  /**
   * Ends the connection; messages that were not sent yet are dropped.
   *
   * @param reason - passed to `onClosed`
   */
  close (reason: string): void {
    if (!this.isOpen) return
    this.isOpen = false
    this.isUp = false
    this.outbox.close()
    this.sessionManager.abort()
    this.onClosed(reason)
  }

  private async receive (replies: AsyncIterable<{ frames: Parameters<ReplyHandler>[0][] }>): Promise<void> {
    try {
      for await (const { frames } of replies) {
        this.replyDueSince = undefined
        this.isUp = this.isOpen
        if (!this.isOpen) return
        for (const frame of frames) this.onReply(frame)
      }
      this.close('the other host closed the connection')
    } catch (thrown) {
      this.close(String(thrown))
    }
  }
}
