import type { Client } from '@connectrpc/connect'
import { PeerFailure, toPeerFailure } from './failure.js'
import type { OutFrame } from './frame.js'
import { Outbox } from './sendqueue.js'
import type { Chunk, Frame, Peer } from './peer_pb.js'

/** The body of a frame. */
export type Body = NonNullable<OutFrame['body']>

/** A frame as it came. */
export type InBody = Frame['body']

/** How many bytes a reader takes before it tells the sender. */
const TAKEN_STEP_BYTES = 64 << 10

interface Pending {
  readonly take: (body: InBody) => void
  readonly fail: (failure: PeerFailure) => void
}

/** A stream of frames to one member, opened when first used and again after a break. */
export class Link {
  private outbox: Outbox<OutFrame> | undefined
  private readonly pending = new Map<number, Pending>()
  private lastCall = 0

  /**
   * @param member - the member that is called
   * @param client - calls it
   */
  constructor (private readonly member: string, private readonly client: Client<typeof Peer>) {}

  /**
   * Makes a call that has one reply.
   *
   * @param body - the request
   * @param timeoutMs - the deadline, in milliseconds
   * @returns the reply; rejects with a PeerFailure
   */
  call (body: Body, timeoutMs: number): Promise<InBody> {
    const call = this.begin()
    return new Promise((resolve, reject) => {
      const timer = setTimeout(() => fail(this.failure('no answer within the deadline')), timeoutMs)
      const finish = (): void => {
        clearTimeout(timer)
        this.pending.delete(call)
      }
      const fail = (failure: PeerFailure): void => {
        finish()
        reject(failure)
      }
      const take = (reply: InBody): void => {
        finish()
        if (reply.case === 'refusal') reject(this.failure(reply.value.reason, 'refused'))
        else resolve(reply)
      }
      this.pending.set(call, { take, fail })
      this.send({ call, body })
    })
  }

  /**
   * Makes a call whose answer comes as chunks.
   *
   * @param body - the request
   * @param signal - ends the call early
   * @returns the chunks; throws a PeerFailure if the member is lost on the way
   */
  async * stream (body: Body, signal: AbortSignal): AsyncGenerator<Chunk> {
    const call = this.begin()
    const chunks: Chunk[] = []
    let failure: PeerFailure | undefined
    let wake = (): void => undefined
    const onAbort = (): void => wake()
    const fail = (met: PeerFailure): void => {
      failure = met
      wake()
    }
    const take = (reply: InBody): void => {
      if (reply.case === 'chunk') chunks.push(reply.value)
      if (reply.case === 'refusal') failure = this.failure(reply.value.reason, 'refused')
      wake()
    }
    this.pending.set(call, { take, fail })
    signal.addEventListener('abort', onAbort)
    this.send({ call, body })
    let isWhole = false
    let taken = 0
    try {
      while (!isWhole && !signal.aborted) {
        const chunk = chunks.shift()
        if (chunk === undefined) {
          if (failure !== undefined) throw failure
          await new Promise<void>(resolve => { wake = resolve })
          continue
        }
        isWhole = chunk.part.case === 'end'
        taken += chunk.part.case === 'events' ? chunk.part.value.data.length : 0
        yield chunk
        if (taken >= TAKEN_STEP_BYTES && !isWhole) {
          this.send({ call, body: { case: 'taken', value: { bytes: taken } } })
          taken = 0
        }
      }
    } finally {
      signal.removeEventListener('abort', onAbort)
      this.pending.delete(call)
      if (!isWhole && failure === undefined) this.send({ call, body: { case: 'abort', value: {} } })
    }
  }

  /** Ends the stream; calls in progress fail. */
  close (): void {
    this.outbox?.close()
    this.broken(this.failure('the link was closed'))
  }

  private begin (): number {
    this.lastCall = (this.lastCall + 1) >>> 0
    return this.lastCall
  }

  private send (frame: OutFrame): void {
    if (this.outbox === undefined) {
      this.outbox = new Outbox<OutFrame>()
      void this.run(this.outbox)
    }
    this.outbox.push(frame)
  }

  private async run (outbox: Outbox<OutFrame>): Promise<void> {
    try {
      for await (const envelope of this.client.link(outbox)) {
        for (const frame of envelope.frames) this.pending.get(frame.call)?.take(frame.body)
      }
      this.broken(this.failure('the link ended'))
    } catch (thrown) {
      this.broken(toPeerFailure(this.member, thrown))
    } finally {
      outbox.close()
    }
  }

  private broken (failure: PeerFailure): void {
    this.outbox = undefined
    const calls = [...this.pending.values()]
    this.pending.clear()
    for (const call of calls) call.fail(failure)
  }

  private failure (message: string, code: 'unreachable' | 'refused' = 'unreachable'): PeerFailure {
    return new PeerFailure('PeerFailure', { code }, `calling ${this.member}: ${message}`)
  }
}
