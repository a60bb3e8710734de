import { toError } from '../base/index.js'
import type { IncomingBody, OutgoingBody } from './linkclient.js'
import type { OutgoingFrame } from './frame.js'
import { SendQueue } from './sendqueue.js'
import type { Envelope, Frame } from './peer_pb.js'
import { SendWindow } from './window.js'

/** Implements the calls that are made over links. */
export interface RequestHandler {
  /**
   * Handles a call with a single reply.
   *
   * @param request - the body of the request frame
   * @returns the reply, or undefined if the request is not of a kind with a single reply
   */
  handleUnary (request: IncomingBody): Promise<OutgoingBody> | undefined

  /**
   * Handles a call with a streamed response.
   *
   * @param request - the body of the request frame
   * @param signal - aborted when the caller cancels the call or the link ends
   * @returns the chunks of the response, or undefined if the request is of an unknown kind
   */
  handleStreaming (request: IncomingBody, signal: AbortSignal): AsyncGenerator<OutgoingChunk> | undefined
}

/** A chunk to be sent. */
export type OutgoingChunk = Extract<OutgoingBody, { case: 'chunk' }>['value']

/** A call whose response is being streamed. */
interface ActiveStream {
  readonly controller: AbortController
  readonly sendWindow: SendWindow
}

/** The server side of a link: receives requests of another host and sends the responses. */
export class LinkServer {
  private readonly sendQueue = new SendQueue<OutgoingFrame>()
  /** Calls with a streamed response, by the number of the call. */
  private readonly streams = new Map<number, ActiveStream>()

  /** @param handler - handles the calls */
  constructor (private readonly handler: RequestHandler) {}

  /**
   * Serves calls until the link ends.
   *
   * @param envelopes - the envelopes that the client sends
   * @param signal - aborted when the connection is lost
   * @returns the envelopes to send to the client
   */
  async * run (envelopes: AsyncIterable<Envelope>, signal: AbortSignal): AsyncGenerator<{ frames?: OutgoingFrame[] }> {
    const stop = (): void => this.stop()
    signal.addEventListener('abort', stop)
    void this.receive(envelopes)
    try {
      yield * this.sendQueue
    } finally {
      signal.removeEventListener('abort', stop)
      this.stop()
    }
  }

  private async receive (envelopes: AsyncIterable<Envelope>): Promise<void> {
    try {
      for await (const envelope of envelopes) {
        for (const frame of envelope.frames) this.handleFrame(frame)
      }
    } catch {
      // The connection was lost: calls in progress are stopped as if the client had ended the link.
    }
    this.stop()
  }

  private stop (): void {
    this.sendQueue.close()
    for (const stream of this.streams.values()) stream.controller.abort()
    this.streams.clear()
  }

  private handleFrame (frame: Frame): void {
    const { call: callId, body } = frame
    if (body.case === 'abort') this.streams.get(callId)?.controller.abort()
    else if (body.case === 'taken') this.streams.get(callId)?.sendWindow.recordAcknowledged(body.value.bytes)
    else void this.handleRequest(callId, body)
  }

  private async handleRequest (callId: number, request: IncomingBody): Promise<void> {
    try {
      const reply = this.handler.handleUnary(request)
      if (reply !== undefined) this.sendQueue.push({ call: callId, body: await reply })
      else await this.sendChunks(callId, request)
    } catch (thrown) {
      this.sendQueue.push({ call: callId, body: { case: 'refusal', value: { reason: toError(thrown).message } } })
    }
  }

  private async sendChunks (callId: number, request: IncomingBody): Promise<void> {
    const stream = { controller: new AbortController(), sendWindow: new SendWindow() }
    const { signal } = stream.controller
    const chunks = this.handler.handleStreaming(request, signal)
    if (chunks === undefined) throw new Error(`unsupported request of kind "${request.case ?? ''}"`)
    this.streams.set(callId, stream)
    try {
      for await (const chunk of chunks) {
        this.sendQueue.push({ call: callId, body: { case: 'chunk', value: chunk } })
        if (chunk.part?.case === 'events') stream.sendWindow.recordSent(chunk.part.value.data?.length ?? 0)
        await stream.sendWindow.waitForCapacity(signal)
      }
    } finally {
      this.streams.delete(callId)
    }
  }
}
