import { createServer, type Http2Server, type ServerHttp2Session } from 'node:http2'
import type { ConnectRouter } from '@connectrpc/connect'
import { connectNodeAdapter } from '@connectrpc/connect-node'
import { SendQueue } from '../peer/index.js'
import type { SchedulerConnection } from './connection.js'
import { type Ask, type Asks, Dispatch, type Reply } from './dispatch_pb.js'
import type { Hub } from './hub.js'

/** Messages from other hosts that are larger are rejected, in bytes. */
const MAX_MESSAGE_BYTES = 16 << 20

/** Accepts connections of other hosts to the scheduler of this process, and to its other services. */
export class DispatchListener {
  private readonly server: Http2Server
  private readonly sessions = new Set<ServerHttp2Session>()

  /**
   * @param hub - handles the messages of the connected hosts
   * @param registerOthers - registers the other services
   */
  constructor (private readonly hub: Hub, registerOthers: (router: ConnectRouter) => void = () => undefined) {
    this.server = createServer(connectNodeAdapter({
      routes: router => {
        router.service(Dispatch, { link: (asks, context) => this.serveLink(asks, context.signal) })
        registerOthers(router)
      },
      readMaxBytes: MAX_MESSAGE_BYTES,
      acceptCompression: []
    }))
    this.server.on('session', session => {
      this.sessions.add(session)
      session.on('close', () => this.sessions.delete(session))
      // A failed session also ends its streams, and the end of a stream is handled there.
      session.on('error', () => undefined)
    })
  }

  /**
   * Starts to accept connections.
   *
   * @param ip - the IP address to listen at
   * @param port - the port; 0 selects any free one
   * @returns the port that was bound; rejects if the address cannot be bound
   */
  listen (ip: string, port: number): Promise<number> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject)
      this.server.listen(port, ip, () => {
        const address = this.server.address()
        resolve(address !== null && typeof address === 'object' ? address.port : port)
      })
    })
  }

  /** Stops accepting connections and destroys the open ones. */
  close (): void {
    this.server.close()
    for (const session of this.sessions) session.destroy()
  }

  private async * serveLink (asks: AsyncIterable<Asks>, signal: AbortSignal): AsyncGenerator<{ frames: Reply[] }> {
    const outbox = new SendQueue<Reply>()
    const closeOutbox = (): void => outbox.close()
    signal.addEventListener('abort', closeOutbox)
    void this.receive(asks, outbox)
    try {
      yield * outbox
    } finally {
      signal.removeEventListener('abort', closeOutbox)
      outbox.close()
    }
  }

  private async receive (asks: AsyncIterable<Asks>, outbox: SendQueue<Reply>): Promise<void> {
    const onReply = (reply: Reply): void => outbox.push(reply)
    let host: string | undefined
    let connection: SchedulerConnection | undefined
    const handleAsk = (ask: Ask): void => {
      if (ask.body.case === 'hello') {
        host = ask.body.value.host
        connection = this.hub.connect(host, onReply, ask.body.value.protocol)
      } else {
        connection?.send(ask)
      }
    }
    try {
      for await (const { frames } of asks) frames.forEach(handleAsk)
    } catch {
      // A failed connection is handled like one that the other host closed.
    }
    if (host !== undefined) this.hub.disconnect(host, onReply)
    outbox.close()
  }
}
