import type { Client } from '@connectrpc/connect'
import { PeerFailure, toPeerFailure } from './failure.js'
import type { OutgoingFrame } from './frame.js'
import { SendQueue } from './sendqueue.js'
import type { Chunk, Frame, Peer } from './peer_pb.js'

/** The body of a frame to be sent. */
export type OutgoingBody = NonNullable<OutgoingFrame['body']>

/** The body of a received frame. */
export type IncomingBody = Frame['body']

/** How many bytes of a response are consumed before they are acknowledged to the sender. */
const ACKNOWLEDGE_AFTER_BYTES = 64 << 10

interface PendingCall {
  readonly receive: (body: IncomingBody) => void
  readonly fail: (failure: PeerFailure) => void
}

/**
 * The client side of a link: multiplexes calls to one member over one
 * bidirectional stream, which is opened on first use and again after it breaks.
 */
export class LinkClient {
  private sendQueue: SendQueue<OutgoingFrame> | undefined
  private readonly pendingCalls = new Map<number, PendingCall>()
  private lastCallId = 0

  /**
   * @param member - the id of the member to call
   * @param client - the client of its peer service
   */
  constructor (private readonly member: string, private readonly client: Client<typeof Peer>) {}

  /**
   * Makes a call with a single reply.
   *
   * @param body - the request
   * @param timeoutMs - the time until the call fails without a reply, in milliseconds
   * @returns the reply; rejects with a {@link PeerFailure}
   */
  call (body: OutgoingBody, timeoutMs: number): Promise<IncomingBody> {
    const callId = this.nextCallId()
    return new Promise((resolve, reject) => {
      const timer = setTimeout(() => fail(this.createFailure('no reply within the deadline')), timeoutMs)
      const finish = (): void => {
        clearTimeout(timer)
        this.pendingCalls.delete(callId)
      }
      const fail = (failure: PeerFailure): void => {
        finish()
        reject(failure)
      }
      const receive = (reply: IncomingBody): void => {
        finish()
        if (reply.case === 'refusal') reject(this.createFailure(reply.value.reason, 'refused'))
        else resolve(reply)
      }
      this.pendingCalls.set(callId, { receive, fail })
      this.send({ call: callId, body })
    })
  }

  /**
   * Makes a call with a streamed response.
   *
   * @param body - the request
   * @param signal - cancels the call
   * @returns the chunks of the response; throws a {@link PeerFailure} if the call fails before its last chunk
   */
  async * stream (body: OutgoingBody, signal: AbortSignal): AsyncGenerator<Chunk> {
    const callId = this.nextCallId()
    const chunks: Chunk[] = []
    let failure: PeerFailure | undefined
    let wake = (): void => undefined
    const onAbort = (): void => wake()
    const fail = (reason: PeerFailure): void => {
      failure = reason
      wake()
    }
    const receive = (reply: IncomingBody): void => {
      if (reply.case === 'chunk') chunks.push(reply.value)
      if (reply.case === 'refusal') failure = this.createFailure(reply.value.reason, 'refused')
      wake()
    }
    this.pendingCalls.set(callId, { receive, fail })
    signal.addEventListener('abort', onAbort)
    this.send({ call: callId, body })
    let isComplete = false
    let consumedBytes = 0
    try {
      while (!isComplete && !signal.aborted) {
        const chunk = chunks.shift()
        if (chunk === undefined) {
          if (failure !== undefined) throw failure
          await new Promise<void>(resolve => { wake = resolve })
          continue
        }
        isComplete = chunk.part.case === 'end'
        consumedBytes += chunk.part.case === 'events' ? chunk.part.value.data.length : 0
        yield chunk
        if (consumedBytes >= ACKNOWLEDGE_AFTER_BYTES && !isComplete) {
          this.send({ call: callId, body: { case: 'taken', value: { bytes: consumedBytes } } })
          consumedBytes = 0
        }
      }
    } finally {
      signal.removeEventListener('abort', onAbort)
      this.pendingCalls.delete(callId)
      if (!isComplete && failure === undefined) this.send({ call: callId, body: { case: 'abort', value: {} } })
    }
  }

  /** Closes the stream; calls in progress fail. */
  close (): void {
    this.sendQueue?.close()
    this.handleDisconnect(this.createFailure('the link was closed'))
  }

  private nextCallId (): number {
    this.lastCallId = (this.lastCallId + 1) >>> 0
    return this.lastCallId
  }

  private send (frame: OutgoingFrame): void {
    if (this.sendQueue === undefined) {
      this.sendQueue = new SendQueue<OutgoingFrame>()
      void this.runStream(this.sendQueue)
    }
    this.sendQueue.push(frame)
  }

  private async runStream (sendQueue: SendQueue<OutgoingFrame>): Promise<void> {
    try {
      for await (const envelope of this.client.link(sendQueue)) {
        for (const frame of envelope.frames) this.pendingCalls.get(frame.call)?.receive(frame.body)
      }
      this.handleDisconnect(this.createFailure('the member ended the link'))
    } catch (thrown) {
      this.handleDisconnect(toPeerFailure(this.member, thrown))
    } finally {
      sendQueue.close()
    }
  }

  private handleDisconnect (failure: PeerFailure): void {
    this.sendQueue = undefined
    const calls = [...this.pendingCalls.values()]
    this.pendingCalls.clear()
    for (const call of calls) call.fail(failure)
  }

  private createFailure (message: string, code: 'unreachable' | 'refused' = 'unreachable'): PeerFailure {
    return new PeerFailure('PeerFailure', { code }, `calling ${this.member}: ${message}`)
  }
}
