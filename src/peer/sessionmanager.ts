import type { ClientHttp2Stream, OutgoingHttpHeaders } from 'node:http2'
import { Http2SessionManager } from '@connectrpc/connect-node'

/**
 * Keeps the HTTP/2 session to another host. A session that has failed may emit its error after it was aborted, when the
 * base class no longer listens; an error that nothing listens to would end the process.
 */
export class SessionManager extends Http2SessionManager {
  private readonly observed = new WeakSet<object>()

  override async request (
    ...args: [string, string, OutgoingHttpHeaders, Parameters<Http2SessionManager['request']>[3]]
  ): Promise<ClientHttp2Stream> {
    const stream = await super.request(...args)
    const { session } = stream
    if (session !== undefined && !this.observed.has(session)) {
      this.observed.add(session)
      // The requests of the session fail with the same error, and their callers handle it.
      session.on('error', () => undefined)
    }
    return stream
  }
}
