import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { runSafely } from '../base/index.js'
import { type CallerLimits, type Deployment, RetrySafety } from '../routing/index.js'
import { Attempt } from './attempt.js'
import type { CallerRequest } from './callerrequest.js'
import { buildCallerRequest } from './buildcallerrequest.js'
import { CallerConnections } from './callerconnections.js'
import { CallerResponse } from './callerresponse.js'
import { handleClientError } from './clienterror.js'
import type { ForwardContext } from './context.js'
import { findHeader } from './headers.js'
import { HeldRequest } from './heldrequest.js'
import { RequestBody } from './requestbody.js'
import type { ReceivedRequest } from './receivedrequest.js'
import { headerBlockBytes, matchRoute } from './requestfields.js'
import { Status } from './status.js'
import { STOPPING } from './stopping.js'

/** Longest header block that Node parses, in bytes; the deployment's own limit is lower. */
const MAX_HEADER_BYTES = 64 << 10

/**
 * Time that idle connections are kept beyond the stated time-out, in milliseconds, for requests that callers send
 * just before it ends.
 */
const IDLE_MARGIN_MS = 1_000

/** Interval at which Node checks connections for time-outs, in milliseconds. */
const CONNECTION_CHECK_MS = 1_000

/** Longest time that a request waits until a deployment is known, in milliseconds. */
const DEPLOYMENT_WAIT_MS = 250

/** Interval at which a waiting request checks whether a deployment is known, in milliseconds. */
const DEPLOYMENT_POLL_MS = 10

/** Retry-After of a host that knows no deployment yet, in milliseconds. */
const DEPLOYMENT_RETRY_AFTER_MS = 300

/** HTTP server for callers' requests. */
export class Ingress {
  private readonly server: Server
  private readonly attempts = new Set<Attempt>()
  private readonly connections: CallerConnections
  private readonly activeResponses = new Map<ServerResponse, CallerResponse>()

  /** @param context - what the handling of requests depends on */
  constructor (private readonly context: ForwardContext) {
    this.server = createServer({
      maxHeaderSize: MAX_HEADER_BYTES,
      connectionsCheckingInterval: CONNECTION_CHECK_MS,
      requestTimeout: 0
    }, (message, response) => this.handleRequest(message, response))
    this.connections = new CallerConnections(context.maxConnections, context.bufferBudget)
    this.server.on('connection', socket => this.connections.add(socket))
    this.server.on('clientError', handleClientError)
  }

  /**
   * @param ip - the IP address to listen on
   * @param port - the port; 0 for any free port
   * @returns the port that the server listens on; rejects if it can't listen
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

  /** @param limits - limits of the size and the duration of callers' requests */
  setLimits (limits: CallerLimits): void {
    this.server.headersTimeout = limits.headerTimeoutMs
    this.server.keepAliveTimeout = limits.idleTimeoutMs + IDLE_MARGIN_MS
  }

  /** Number of requests whose response is not finished. */
  get activeRequestCount (): number {
    return this.activeResponses.size
  }

  /** @returns the state, for a dump */
  dump (): Readonly<Record<string, unknown>> {
    const { activeRequestCount, connections, context: { bufferBudget } } = this
    return { requests: activeRequestCount, connections: connections.count, buffers: bufferBudget.dump() }
  }

  /**
   * Checks all attempts for deadlines and silent servers.
   *
   * @param now - monotonic time, in milliseconds
   */
  tick (now: number): void {
    this.context.paths.tick()
    this.connections.tick(now)
    for (const attempt of this.attempts) {
      if (!runSafely(this.context.log, { event: 'attempt-failed' }, () => attempt.tick(now))) attempt.abandon()
    }
  }

  /** Gives all requests without a response their final one, those whose body is not complete too. */
  giveUp (): void {
    for (const attempt of this.attempts) attempt.giveUp(Status.unavailable, STOPPING, 0)
    for (const response of this.activeResponses.values()) {
      if (!response.isStarted) response.sendText(Status.unavailable, STOPPING, 0)
    }
  }

  /** Stops listening and closes connections that carry no request. */
  stopAccepting (): void {
    this.server.close()
    this.server.closeIdleConnections()
  }

  /** Stops listening and closes all connections. */
  close (): void {
    this.server.close()
    this.server.closeAllConnections()
  }

  private handleRequest (message: IncomingMessage, rawResponse: ServerResponse): void {
    // The request crossed the end of its connection, so no response to it could be sent.
    if (!message.socket.writable) {
      message.socket.destroy()
      return
    }
    const connection = this.connections.begin(rawResponse)
    if (connection === undefined) return
    const arrivedAt = this.context.clock.now()
    const { headerNames: names } = this.context
    const attemptId = findHeader(message.rawHeaders, names.attemptId)
    const echoedHeader = attemptId === undefined ? undefined : [names.attemptId, attemptId] as const
    const response = new CallerResponse(rawResponse, echoedHeader, () => this.context.isClosing(),
      () => this.hasOtherRequest(rawResponse), this.context.bufferBudget)
    this.activeResponses.set(rawResponse, response)
    rawResponse.once('close', () => {
      this.activeResponses.delete(rawResponse)
      this.connections.end(connection, rawResponse)
    })
    const deployment = this.context.deployment()
    const body = new RequestBody(message, response, this.context.bufferBudget)
    if (!this.context.isAccepting()) {
      this.reject(body, Status.unavailable, STOPPING, 0)
      return
    }
    connection.receiving = body
    const request = { message, body, connection, response, arrivedAt, rawResponse }
    if (deployment === undefined) this.waitForDeployment(request)
    else this.route(deployment, request)
  }

  /** Whether another request of the same connection awaits its response. */
  private hasOtherRequest (rawResponse: ServerResponse): boolean {
    const { socket } = rawResponse.req
    return [...this.activeResponses.keys()].some(other => other !== rawResponse && other.req.socket === socket)
  }

  /** Delays a request that arrives right after the host's start: the deployment is usually known in milliseconds. */
  private waitForDeployment (request: ReceivedRequest): void {
    const giveUpAt = request.arrivedAt + DEPLOYMENT_WAIT_MS
    const poll = (): void => {
      const deployment = this.context.deployment()
      if (deployment !== undefined) this.route(deployment, request)
      else if (this.context.clock.now() < giveUpAt) setTimeout(poll, DEPLOYMENT_POLL_MS)
      else {
        this.reject(request.body, Status.unavailable, 'no deployment is known yet',
          DEPLOYMENT_RETRY_AFTER_MS)
      }
    }
    poll()
  }

  private route (deployment: Deployment, request: ReceivedRequest): void {
    const { message, body, connection, response, arrivedAt, rawResponse } = request
    const { headerNames: names } = this.context
    const { maxHeaderBytes: headerBytes, maxBodyBytes: bodyBytes } = deployment.limits
    if (headerBlockBytes(message.rawHeaders) > headerBytes) {
      this.reject(body, Status.headersTooLarge, 'the headers are too long')
      return
    }
    const match = matchRoute(deployment, message, names.key)
    if (typeof match === 'number') {
      this.reject(body, match, match === Status.notFound ? 'no such route' : 'the key is not known')
      return
    }
    // HTTP/1.0 has no chunks, so a stream that was cut off could not be told from a complete one.
    if (match.route.retrySafety === RetrySafety.stream && message.httpVersion === '1.0') {
      this.reject(body, Status.versionNotSupported, 'a stream needs HTTP/1.1')
      return
    }
    if (Number(message.headers['content-length'] ?? 0) > bodyBytes) {
      this.reject(body, Status.contentTooLarge, 'the body is too long')
      return
    }
    body.read(bodyBytes, bytes => {
      connection.receiving = undefined
      if (this.context.maySend()) {
        this.startAttempt(buildCallerRequest(names, message, bytes, match, arrivedAt), response, rawResponse)
      } else response.sendText(Status.unavailable, STOPPING, 0)
    })
  }

  /** Responds before the body is read. */
  private reject (body: RequestBody, status: number, reason: string, retryAfterMs?: number): void {
    this.context.log.debug({ event: 'rejected', status, reason }, 'rejected')
    body.refuse(status, reason, retryAfterMs)
  }

  private startAttempt (request: CallerRequest, response: CallerResponse, rawResponse: ServerResponse): void {
    const attempt = new Attempt(this.context, request, response, finished => {
      this.attempts.delete(finished)
      held.release()
    })
    const held = new HeldRequest(this.context.bufferBudget, request, attempt)
    this.attempts.add(attempt)
    held.hold()
    rawResponse.once('close', () => { if (!rawResponse.writableFinished) attempt.handleDisconnect() })
    attempt.start()
  }
}
