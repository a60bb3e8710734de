import { createServer, type Http2Server, type ServerHttp2Session } from 'node:http2'
import { connectNodeAdapter } from '@connectrpc/connect-node'
import { Outbox } from '../peer/index.js'
import { type Ask, type Asks, Dispatch, type Reply } from './dispatch_pb.js'
import type { Hub } from './hub.js'
import type { Port } from './port.js'

/** Lets other hosts ask the scheduler of this one. */
export class DispatchListener {
  private readonly server: Http2Server
  private readonly sessions = new Set<ServerHttp2Session>()

  /** @param hub - takes the asks */
  constructor (private readonly hub: Hub) {
    this.server = createServer(connectNodeAdapter({
      routes: router => router.service(Dispatch, { link: (asks, context) => this.link(asks, context.signal) }),
      acceptCompression: []
    }))
    this.server.on('session', session => {
      this.sessions.add(session)
      session.on('close', () => this.sessions.delete(session))
      // A broken session also ends its streams, which is where it is dealt with.
      session.on('error', () => undefined)
    })
  }

  /**
   * @param ip - the IP number to listen at
   * @param port - the port; 0 takes any free one
   * @returns the port
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

  /** Stops listening and ends the connections. */
  close (): void {
    this.server.close()
    for (const session of this.sessions) session.destroy()
  }

  private async * link (asks: AsyncIterable<Asks>, signal: AbortSignal): AsyncGenerator<{ frames: Reply[] }> {
    const outbox = new Outbox<Reply>()
    const stop = (): void => outbox.close()
    signal.addEventListener('abort', stop)
    void this.receive(asks, outbox)
    try {
      yield * outbox
    } finally {
      signal.removeEventListener('abort', stop)
      outbox.close()
    }
  }

  private async receive (asks: AsyncIterable<Asks>, outbox: Outbox<Reply>): Promise<void> {
    const take = (reply: Reply): void => outbox.push(reply)
    let host: string | undefined
    let port: Port | undefined
    const one = (frame: Ask): void => {
      if (frame.body.case === 'hello') {
        host = frame.body.value.host
        port = this.hub.connect(host, take)
      } else {
        port?.send(frame)
      }
    }
    try {
      for await (const { frames } of asks) frames.forEach(one)
    } catch {
      // The connection broke: the host is forgotten like after an orderly end.
    }
    if (host !== undefined) this.hub.disconnect(host, take)
    outbox.close()
  }
}
