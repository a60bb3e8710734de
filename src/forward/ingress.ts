import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { CallerLimits, Deployment } from '../routing/index.js'
import { Answer } from './callerresponse.js'
import { Attempt } from './attempt.js'
import type { CallerRequest } from './callerrequest.js'
import type { ForwardContext } from './context.js'
import { headerOf } from './headers.js'
import { expectedTokens, fingerprintOf, type Found, identify, lengthOf, tokensOf, unitsOf } from './requestfields.js'
import { Status } from './status.js'

/** Longest header block that is read at all, in bytes; the deployment's limit is below it. */
const GREATEST_HEADER_BYTES = 64 << 10

/** Idle connections are kept this much longer than stated, in milliseconds, for requests that cross their end. */
const IDLE_MARGIN_MS = 1_000

/** How often node looks for connections that took too long, in milliseconds. */
const CONNECTION_CHECK_MS = 1_000

/** How long a request waits for the deployment to be known, and between two looks; in milliseconds. */
const UNKNOWN_WAIT_MS = 250
const UNKNOWN_LOOK_MS = 10

/** When a caller may come back to a host that knows no deployment yet, in milliseconds. */
const UNKNOWN_RETRY_MS = 300

/** A deadline for callers that state none, in milliseconds. */
const DEFAULT_DEADLINE_MS = 60_000

/** Takes the requests of callers. */
export class Ingress {
  private readonly server: Server
  private readonly attempts = new Set<Attempt>()
  private readonly active = new Set<ServerResponse>()

  /** @param context - what requests are worked on with */
  constructor (private readonly context: ForwardContext) {
    this.server = createServer({
      maxHeaderSize: GREATEST_HEADER_BYTES,
      connectionsCheckingInterval: CONNECTION_CHECK_MS,
      requestTimeout: 0
    }, (request, response) => this.take(request, response))
    this.server.on('clientError', (error, socket) => {
      const isLong = (error as NodeJS.ErrnoException).code === 'HPE_HEADER_OVERFLOW'
      const status = isLong ? '431 Request Header Fields Too Large' : '400 Bad Request'
      if (socket.writable) socket.end(`HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`)
      else socket.destroy()
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

  /** @param limits - what callers may send and how long they may take */
  setLimits (limits: CallerLimits): void {
    this.server.headersTimeout = limits.headerTimeoutMs
    this.server.keepAliveTimeout = limits.idleTimeoutMs + IDLE_MARGIN_MS
  }

  /** How many requests have no final answer yet. */
  get size (): number {
    return this.active.size
  }

  /**
   * Looks at all requests again, since time has passed.
   *
   * @param now - steady time, in milliseconds
   */
  tick (now: number): void {
    for (const attempt of this.attempts) attempt.tick(now)
  }

  /** Ends connections that carry no request, and takes no new ones. */
  stopIdle (): void {
    this.server.close()
    this.server.closeIdleConnections()
  }

  /** Ends all connections. */
  close (): void {
    this.server.close()
    this.server.closeAllConnections()
  }

  private take (message: IncomingMessage, response: ServerResponse): void {
    const arrivedAt = this.context.clock.now()
    const { names } = this.context
    const attempt = headerOf(message.rawHeaders, names.attempt)
    const echo = attempt === undefined ? undefined : [names.attempt, attempt] as const
    const answer = new Answer(response, echo, () => this.context.isClosing())
    this.active.add(response)
    response.on('close', () => this.active.delete(response))
    const deployment = this.context.deployment()
    if (!this.context.isTaking()) {
      this.reject(message, answer, Status.unavailable, 'this host stops', 0)
      return
    }
    if (deployment === undefined) this.holdBack({ message, answer, attempt, arrivedAt, response })
    else this.route(deployment, { message, answer, attempt, arrivedAt, response })
  }

  /** Right after its start a host learns of the deployment within milliseconds; until then requests wait. */
  private holdBack (arrival: Arrival): void {
    const giveUpAt = arrival.arrivedAt + UNKNOWN_WAIT_MS
    const look = (): void => {
      const deployment = this.context.deployment()
      if (deployment !== undefined) this.route(deployment, arrival)
      else if (this.context.clock.now() < giveUpAt) setTimeout(look, UNKNOWN_LOOK_MS)
      else {
        this.reject(arrival.message, arrival.answer, Status.unavailable, 'no deployment is known yet', UNKNOWN_RETRY_MS)
      }
    }
    look()
  }

  private route (deployment: Deployment, arrival: Arrival): void {
    const { message, answer, attempt, arrivedAt, response } = arrival
    const { names } = this.context
    const { headerBytes, bodyBytes } = deployment.limits
    if (lengthOf(message.rawHeaders) > headerBytes) {
      this.reject(message, answer, Status.headersTooLarge, 'the headers are too long')
      return
    }
    const found = identify(deployment, message, names.key)
    if (typeof found === 'number') {
      this.reject(message, answer, found, found === Status.notFound ? 'no such route' : 'the key is not known')
      return
    }
    if (Number(message.headers['content-length'] ?? 0) > bodyBytes) {
      this.reject(message, answer, Status.tooLarge, 'the body is too long')
      return
    }
    this.read(message, answer, bodyBytes, body => {
      this.begin(this.requestOf(message, attempt, body, found, arrivedAt), answer, response)
    })
  }

  /** Answers before the body is read; a connection whose body is still due can't be kept. */
  private reject (message: IncomingMessage, answer: Answer, status: number, reason: string, retryMs?: number): void {
    this.context.log.debug({ event: 'rejected', status, reason }, 'rejected')
    answer.own(status, reason, retryMs)
    message.resume()
  }

  private read (message: IncomingMessage, answer: Answer, bodyBytes: number, take: (body: Buffer) => void): void {
    const pieces: Buffer[] = []
    let bytes = 0
    message.on('data', (piece: Buffer) => {
      bytes += piece.length
      if (bytes <= bodyBytes) pieces.push(piece)
      else if (!answer.isOver) answer.own(Status.tooLarge, 'the body is too long')
    })
    message.on('end', () => {
      if (!answer.isOver) take(pieces.length === 1 ? pieces[0]! : Buffer.concat(pieces))
    })
    // A caller that leaves while it sends its body has no attempt yet.
    message.on('error', () => undefined)
  }

  private begin (request: CallerRequest, answer: Answer, response: ServerResponse): void {
    const attempt = new Attempt(this.context, request, answer, over => this.attempts.delete(over))
    this.attempts.add(attempt)
    response.on('close', () => { if (!response.writableFinished) attempt.left() })
    attempt.start()
  }

  private requestOf (
    message: IncomingMessage, attempt: string | undefined, body: Buffer, found: Found, arrivedAt: number
  ): CallerRequest {
    const { names } = this.context
    const headers = message.rawHeaders
    const { route, organisation } = found
    const [promptTokens, outputTokens] = tokensOf(headerOf(headers, names.usage))
    const statedMs = Number(headerOf(headers, names.deadline) ?? DEFAULT_DEADLINE_MS)
    const leftMs = Number.isFinite(statedMs) ? statedMs : DEFAULT_DEADLINE_MS
    // A caller that came back has less time left than its route allows: that much it has waited before.
    const waitedMs = Math.max(0, route.timeoutMs - leftMs)
    const lastEvent = headerOf(headers, names.lastEvent)
    return {
      attempt,
      method: message.method ?? 'GET',
      target: message.url ?? '/',
      headers,
      body,
      fingerprint: fingerprintOf(message, organisation, body),
      route,
      organisation,
      promptTokens,
      expectedTokens: expectedTokens(outputTokens, headerOf(headers, names.lengthHint)),
      units: unitsOf(organisation, promptTokens + outputTokens),
      lastEvent: lastEvent === undefined ? undefined : Number(lastEvent),
      arrivedAt,
      lateAt: arrivedAt - waitedMs + route.objectiveMs,
      deadlineAt: arrivedAt + Math.min(leftMs, route.timeoutMs)
    }
  }
}

/** A request whose head was read. */
interface Arrival {
  readonly message: IncomingMessage
  readonly answer: Answer
  readonly response: ServerResponse
  readonly attempt: string | undefined
  readonly arrivedAt: number
}
