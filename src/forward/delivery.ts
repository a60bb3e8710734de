import type { BackendServer } from '../fleet/index.js'
import { Repeat } from '../routing/index.js'
import { Outcome } from '../schedule/index.js'
import type { Answer } from './callerresponse.js'
import type { CallerRequest } from './callerrequest.js'
import type { Channel } from './connection.js'
import type { ForwardContext } from './context.js'
import { endToEnd, headerOf, isUnframed, type RawHeaders } from './headers.js'
import { type AnswerTaker, Sending } from './exchange.js'
import type { Sequence } from './eventsequencer.js'
import { Status } from './status.js'

/** Longest answer that is kept until it is whole, in bytes. */
const GREATEST_ANSWER_BYTES = 16 << 20

/** A server that sends nothing for this long, or for twice the objective, is taken for silent; in milliseconds. */
const SILENCE_MS = 1_000

/** Headers of answers that are written anew. */
const REWRITTEN: ReadonlySet<string> = new Set(['content-length'])

/** A whole answer of a server. */
export interface Result {
  readonly status: number
  readonly headers: RawHeaders
  readonly body: Buffer
  /** Whether only the end of the connection told the end of the answer. */
  readonly isUnframed: boolean
}

/** Is told how a delivery goes. */
export interface DeliveryWatcher {
  /** The first event or answer came. */
  started (): void

  /**
   * The delivery is over.
   *
   * @param delivery - this one
   * @param outcome - what became of it
   * @param result - the whole answer, unless its events were passed on already
   */
  ended (delivery: Delivery, outcome: Outcome, result: Result | undefined): void
}

/** One request at one server. */
export class Delivery implements AnswerTaker {
  /** Whether the server may have got the request. */
  wasSent = false
  /** Why there is no whole answer. */
  reason = ''
  private readonly channel: Channel
  private readonly sending: Sending
  private readonly sentAt: number
  private heardAt: number
  private firstAt: number | undefined
  private events = 0
  private longestPauseMs = 0
  private status = 0
  private headers: RawHeaders = []
  private isUnframed = false
  private readonly pieces: Buffer[] = []
  private bytes = 0
  private passesEvents = false
  private isOver = false

  /**
   * Sends a request to a server.
   *
   * @param context - what it is worked on with
   * @param request - what the caller sent
   * @param server - where it goes
   * @param sequence - lets events through
   * @param answer - goes to the caller
   * @param watcher - is told how it goes
   */
  constructor (
    private readonly context: ForwardContext,
    private readonly request: CallerRequest,
    readonly server: BackendServer,
    private readonly sequence: Sequence,
    private readonly answer: Answer,
    private readonly watcher: DeliveryWatcher
  ) {
    this.sentAt = this.heardAt = context.clock.now()
    this.channel = context.channels.take(server.address)
    const { method, target, body } = request
    const outgoing = { method, target, headers: this.outgoingHeaders(), body: body.length > 0 ? body : null }
    this.sending = new Sending(this.channel, outgoing, this)
  }

  /** Mean pause between events or length of the call, in milliseconds, if known. */
  get stepMs (): number | undefined {
    if (!this.passesEvents) return this.heardAt - this.sentAt
    return this.events > 1 ? (this.heardAt - this.firstAt!) / (this.events - 1) : undefined
  }

  /** What the delivery was like, for the log; times in milliseconds. */
  get account (): Readonly<Record<string, unknown>> {
    const firstMs = this.firstAt === undefined ? undefined : Math.round(this.firstAt - this.sentAt)
    return {
      server: this.server.id,
      waitedMs: Math.round(this.sentAt - this.request.arrivedAt),
      firstMs,
      longestPauseMs: Math.round(this.longestPauseMs),
      events: this.events,
      tokens: this.request.promptTokens,
      expectedTokens: this.request.expectedTokens
    }
  }

  /** Ends the delivery; the watcher hears no more. */
  abort (): void {
    this.isOver = true
    this.sending.abort()
  }

  /**
   * @param now - steady time, in milliseconds
   * @returns whether the server sent nothing for so long that it is taken for silent
   */
  isSilent (now: number): boolean {
    return now - this.heardAt > Math.max(SILENCE_MS, 2 * this.request.route.objectiveMs)
  }

  sent (): void {
    this.wasSent = true
  }

  head (status: number, headers: RawHeaders): void {
    if (this.isOver) return
    const { attempt, route } = this.request
    const echoed = headerOf(headers, this.context.names.attempt)
    if (attempt !== undefined && echoed !== undefined && echoed !== attempt) {
      this.finishBroken('the answer belongs to another request')
      return
    }
    this.status = status
    this.headers = endToEnd(headers, REWRITTEN)
    this.isUnframed = isUnframed(headers)
    this.passesEvents = route.repeat === Repeat.stream && status >= 200 && status < 300
    if (!this.passesEvents) this.hear()
  }

  data (bytes: Buffer): boolean {
    if (this.isOver) return true
    if (this.passesEvents) return this.passEvents(bytes)
    this.bytes += bytes.length
    if (this.bytes > GREATEST_ANSWER_BYTES) this.finishBroken('the answer is too long')
    else this.pieces.push(Buffer.from(bytes))
    return true
  }

  end (): void {
    if (this.isOver) return
    if (this.passesEvents && !this.sequence.isWhole) {
      this.finishBroken('the stream ended within an event')
      return
    }
    this.isOver = true
    this.context.channels.giveBack(this.server.address, this.channel)
    if (this.passesEvents) {
      this.begin()
      this.watcher.ended(this, Outcome.done, undefined)
    } else {
      this.heardAt = this.context.clock.now()
      const { status, headers, isUnframed } = this
      const result = { status, headers, isUnframed, body: Buffer.concat(this.pieces) }
      this.watcher.ended(this, this.outcomeOf(), result)
    }
  }

  fail (error: Error): void {
    if (this.isOver) return
    this.isOver = true
    this.reason = error.message
    this.channel.close()
    this.watcher.ended(this, this.wasSent ? Outcome.broken : Outcome.unreachable, undefined)
  }

  unsendable (error: Error): void {
    if (this.isOver) return
    this.isOver = true
    this.reason = error.message
    this.channel.close()
    this.watcher.ended(this, Outcome.unsendable, undefined)
  }

  private outcomeOf (): Outcome {
    if (this.status === Status.misdirected) return Outcome.misdirected
    if (headerOf(this.headers, this.context.names.notRun) !== undefined) return Outcome.rejected
    return this.status >= Status.serverFault ? Outcome.failed : Outcome.done
  }

  private passEvents (bytes: Buffer): boolean {
    const { events, isSound } = this.sequence.push(bytes)
    let mayGoOn = true
    for (const event of events) {
      this.hear()
      this.begin()
      mayGoOn = this.answer.write(event)
    }
    if (!isSound) this.finishBroken('events are missing or too long')
    if (!mayGoOn && !this.isOver) this.answer.onDrain(() => this.sending.resume())
    return mayGoOn
  }

  /** An answer keeps the headers of its first server. */
  private begin (): void {
    if (!this.answer.isBegun) this.answer.begin(this.status, this.headers, this.isUnframed)
  }

  private hear (): void {
    const now = this.context.clock.now()
    this.events++
    if (this.firstAt !== undefined) {
      this.longestPauseMs = Math.max(this.longestPauseMs, now - this.heardAt)
      this.heardAt = now
      return
    }
    this.heardAt = this.firstAt = now
    this.watcher.started()
  }

  private finishBroken (reason: string): void {
    this.isOver = true
    this.reason = reason
    this.sending.abort()
    this.watcher.ended(this, Outcome.broken, undefined)
  }

  private outgoingHeaders (): string[] {
    const { names } = this.context
    const { organisation, deadlineAt, headers } = this.request
    const dropped = new Set(['content-length', 'expect', names.key, names.deadline, names.organisation, names.server,
      ...names.reserved])
    const last = this.sequence.position
    if (last !== undefined) dropped.add(names.lastEvent)
    const leftMs = Math.max(1, Math.floor(deadlineAt - this.sentAt))
    const sent = [...endToEnd(headers, dropped), names.deadline, String(leftMs), names.server, this.server.id]
    if (organisation !== undefined) sent.push(names.organisation, organisation.name)
    if (last !== undefined) sent.push(names.lastEvent, String(last))
    return sent
  }
}
