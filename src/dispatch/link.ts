import type { ClientSessionOptions } from 'node:http2'
import { createClient } from '@connectrpc/connect'
import { createGrpcTransport, Http2SessionManager } from '@connectrpc/connect-node'
import { Outbox } from '../peer/index.js'
import { type Ask, Dispatch } from './dispatch_pb.js'
import { askFrame } from './frames.js'
import type { Port, TakeReply } from './port.js'

/** What is answered at once. */
const ANSWERED: ReadonlySet<Ask['body']['case']> = new Set(['place', 'ping'])

/** A connection to the scheduler of another host. */
export class Link implements Port {
  private readonly outbox = new Outbox<Ask>()
  private readonly sessions: Http2SessionManager
  private isOpen = true
  /** Whether the other side answered. */
  isUp = false
  /** When the other side was last written to, steady milliseconds. */
  sentAt: number
  /** Since when an answer is due, if one is; steady milliseconds. */
  awaitedSince: number | undefined

  /**
   * @param host - the name of this host
   * @param ip - the IP number that it calls from
   * @param address - where the other host listens
   * @param take - takes the replies
   * @param clock - gives steady time
   * @param onDown - told once when the connection ended
   */
  constructor (
    host: string,
    ip: string,
    address: string,
    private readonly take: TakeReply,
    private readonly clock: { now: () => number },
    private readonly onDown: (reason: string) => void
  ) {
    const baseUrl = `http://${address}`
    this.sessions = new Http2SessionManager(baseUrl, {}, { localAddress: ip } as ClientSessionOptions)
    this.sentAt = clock.now()
    const transport = createGrpcTransport({ baseUrl, sessionManager: this.sessions, acceptCompression: [] })
    const client = createClient(Dispatch, transport)
    this.send(askFrame(0, { case: 'hello', value: { host } }))
    void this.run(client.link(this.outbox))
  }

  send (ask: Ask): void {
    this.sentAt = this.clock.now()
    if (ANSWERED.has(ask.body.case)) this.awaitedSince ??= this.sentAt
    this.outbox.push(ask)
  }

  /** @param reason - why the connection is ended */
  close (reason: string): void {
    if (!this.isOpen) return
    this.isOpen = false
    this.isUp = false
    this.outbox.close()
    this.sessions.abort()
    this.onDown(reason)
  }

  private async run (replies: AsyncIterable<{ frames: Parameters<TakeReply>[0][] }>): Promise<void> {
    try {
      for await (const { frames } of replies) {
        this.awaitedSince = undefined
        this.isUp = this.isOpen
        if (!this.isOpen) return
        for (const frame of frames) this.take(frame)
      }
      this.close('the other host ended the link')
    } catch (thrown) {
      this.close(String(thrown))
    }
  }
}
