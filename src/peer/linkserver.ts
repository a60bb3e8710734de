import { toError } from '../base/index.js'
import type { Body, InBody } from './link.js'
import type { OutFrame } from './frame.js'
import { Outbox } from './sendqueue.js'
import type { Envelope, Frame } from './peer_pb.js'
import { Window } from './window.js'

/** What answers the calls that come over links. */
export interface Answerer {
  /**
   * Answers a call that has one reply.
   *
   * @param request - the request
   * @returns the reply, or undefined if the request is of a kind that is answered by chunks
   */
  reply (request: InBody): Promise<Body> | undefined

  /**
   * Answers a call by chunks.
   *
   * @param request - the request
   * @param signal - tells that the answer is not wanted any more
   * @returns the chunks, or undefined if the request is of no known kind
   */
  chunks (request: InBody, signal: AbortSignal): AsyncGenerator<ChunkBody> | undefined
}

/** A chunk to be sent. */
export type ChunkBody = Extract<Body, { case: 'chunk' }>['value']

interface Stream {
  readonly controller: AbortController
  readonly window: Window
}

/** The answering side of one link. */
export class Exchange {
  private readonly outbox = new Outbox<OutFrame>()
  private readonly streams = new Map<number, Stream>()

  /** @param answerer - answers the calls */
  constructor (private readonly answerer: Answerer) {}

  /**
   * Answers calls until the other side ends the link.
   *
   * @param envelopes - what the other side sends
   * @param signal - tells that the connection broke
   * @returns what is sent back
   */
  async * run (envelopes: AsyncIterable<Envelope>, signal: AbortSignal): AsyncGenerator<{ frames?: OutFrame[] }> {
    const stop = (): void => this.stop()
    signal.addEventListener('abort', stop)
    void this.receive(envelopes)
    try {
      yield * this.outbox
    } finally {
      signal.removeEventListener('abort', stop)
      this.stop()
    }
  }

  private async receive (envelopes: AsyncIterable<Envelope>): Promise<void> {
    try {
      for await (const envelope of envelopes) {
        for (const frame of envelope.frames) this.take(frame)
      }
    } catch {
      // The connection broke: what was in progress is stopped like after an orderly end.
    }
    this.stop()
  }

  private stop (): void {
    this.outbox.close()
    for (const stream of this.streams.values()) stream.controller.abort()
    this.streams.clear()
  }

  private take (frame: Frame): void {
    const { call, body } = frame
    if (body.case === 'abort') this.streams.get(call)?.controller.abort()
    else if (body.case === 'taken') this.streams.get(call)?.window.taken(body.value.bytes)
    else void this.answer(call, body)
  }

  private async answer (call: number, request: InBody): Promise<void> {
    try {
      const reply = this.answerer.reply(request)
      if (reply !== undefined) this.outbox.push({ call, body: await reply })
      else await this.sendChunks(call, request)
    } catch (thrown) {
      this.outbox.push({ call, body: { case: 'refusal', value: { reason: toError(thrown).message } } })
    }
  }

  private async sendChunks (call: number, request: InBody): Promise<void> {
    const stream = { controller: new AbortController(), window: new Window() }
    const { signal } = stream.controller
    const chunks = this.answerer.chunks(request, signal)
    if (chunks === undefined) throw new Error(`no answer to a frame of kind "${request.case ?? ''}"`)
    this.streams.set(call, stream)
    try {
      for await (const chunk of chunks) {
        this.outbox.push({ call, body: { case: 'chunk', value: chunk } })
        if (chunk.part?.case === 'events') stream.window.sent(chunk.part.value.data?.length ?? 0)
        await stream.window.room(signal)
      }
    } finally {
      this.streams.delete(call)
    }
  }
}
