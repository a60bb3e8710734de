import type { IncomingMessage } from 'node:http'
import { BodyBuffer } from './bodybuffer.js'
import type { BufferBudget, BufferOwner } from './bufferbudget.js'
import type { CallerResponse } from './callerresponse.js'
import { Status } from './status.js'
import { YieldWeight } from './yieldweight.js'

/** Memory of a request beside its body: the objects of the HTTP server, the attempt and its job, in bytes. */
export const REQUEST_BYTES = 8 << 10

/** Most bytes of a refused body that are read, so that its connection can carry another request; in bytes. */
const MAX_DISCARDED_BYTES = 64 << 10

/** Retry-After of requests that are refused for want of memory, in milliseconds; other hosts have their own. */
export const MEMORY_RETRY_AFTER_MS = 300

/** Reason of refusals for want of memory. */
export const NO_MEMORY = 'no memory for the request'

/** The body of a caller's request while it arrives. */
export class RequestBody implements BufferOwner {
  readonly yieldWeight = YieldWeight.notRun
  private buffer = new BodyBuffer()
  private bytes = 0
  private discardedBytes = 0
  private isRefused = false

  /**
   * @param message - the request, whose body was not read yet
   * @param response - the response to its caller
   * @param budget - the memory of all requests and responses
   */
  constructor (
    private readonly message: IncomingMessage,
    private readonly response: CallerResponse,
    private readonly budget: BufferBudget
  ) {
    // If the caller disconnects while it sends the body, there is no attempt to cancel yet.
    message.on('error', () => undefined)
    message.on('close', () => this.release())
  }

  /**
   * Reads the body. A body that is too long, or has to give way, is refused.
   *
   * @param maxBytes - greatest length, in bytes
   * @param onBody - receives the complete body, unless the response was sent meanwhile
   */
  read (maxBytes: number, onBody: (body: Buffer) => void): void {
    this.message.on('data', (chunk: Buffer) => {
      if (this.isRefused || this.response.isClosed) this.discard(chunk.length)
      else this.append(chunk, maxBytes)
    })
    this.message.on('end', () => {
      const body = this.buffer.toBuffer()
      this.release()
      if (!this.isRefused && !this.response.isClosed) onBody(body)
    })
    this.hold()
  }

  /**
   * Refuses the request before its body was read, or while it arrives. The rest of a short body is read, so that the
   * connection can carry another request; with a long one, the connection is closed.
   *
   * @param status - the HTTP status
   * @param reason - a short explanation
   * @param retryAfterMs - time after which the caller may retry, in milliseconds
   */
  refuse (status: number, reason: string, retryAfterMs?: number): void {
    this.isRefused = true
    this.release()
    const { headers } = this.message
    const statedBytes = Number(headers['content-length'] ?? 0)
    if (statedBytes - this.bytes > MAX_DISCARDED_BYTES) this.response.closeAfterEnd()
    this.response.sendText(status, reason, retryAfterMs)
    if (this.message.listenerCount('data') === 0) this.message.on('data', (chunk: Buffer) => this.discard(chunk.length))
  }

  onBufferExhausted (): void {
    this.refuse(Status.unavailable, NO_MEMORY, MEMORY_RETRY_AFTER_MS)
  }

  private append (chunk: Buffer, maxBytes: number): void {
    this.bytes += chunk.length
    if (this.bytes > maxBytes) {
      this.refuse(Status.contentTooLarge, 'the body is too long')
      return
    }
    this.buffer.append(chunk)
    this.hold(chunk.length)
  }

  private hold (copiedBytes = 0): void {
    this.budget.set(this, REQUEST_BYTES + this.buffer.capacity, copiedBytes)
  }

  private release (): void {
    this.buffer = new BodyBuffer()
    this.budget.set(this, 0)
  }

  private discard (bytes: number): void {
    this.discardedBytes += bytes
    this.budget.recordFreed(bytes)
    if (this.discardedBytes > MAX_DISCARDED_BYTES) this.message.socket.destroy()
  }
}
