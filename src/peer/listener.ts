import { createServer, type Http2Server, type ServerHttp2Session } from 'node:http2'
import { Code, ConnectError, type Interceptor, type ServiceImpl } from '@connectrpc/connect'
import { connectNodeAdapter } from '@connectrpc/connect-node'
import { areSecretsEqual } from '../base/index.js'
import { KEY_HEADER } from './peers.js'
import { Peer } from './peer_pb.js'

/** Messages from other hosts that are larger are rejected, in bytes. */
const MAX_MESSAGE_BYTES = 16 << 20

/** The HTTP/2 server for the calls of other hosts. */
export class Listener {
  private readonly server: Http2Server
  private readonly sessions = new Set<ServerHttp2Session>()

  /**
   * @param handlers - the implementations of the service's methods
   * @param key - the shared key that each call must present in the header {@link KEY_HEADER}
   */
  constructor (handlers: Partial<ServiceImpl<typeof Peer>>, key: string) {
    const authenticate: Interceptor = next => async request => {
      if (!areSecretsEqual(request.header.get(KEY_HEADER) ?? '', key)) {
        throw new ConnectError('the shared key is missing or wrong', Code.Unauthenticated)
      }
      return await next(request)
    }
    this.server = createServer(connectNodeAdapter({
      routes: router => router.service(Peer, handlers),
      interceptors: [authenticate],
      readMaxBytes: MAX_MESSAGE_BYTES,
      acceptCompression: []
    }))
    this.server.on('session', session => {
      this.sessions.add(session)
      session.on('close', () => this.sessions.delete(session))
    })
  }

  /**
   * @param ip - the IP address to listen on
   * @param port - the port; 0 selects any free port
   * @returns the port that the server listens on
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

  /** Stops listening and destroys the open connections. */
  close (): void {
    this.server.close()
    for (const session of this.sessions) session.destroy()
  }
}
