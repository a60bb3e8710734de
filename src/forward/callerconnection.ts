import type { ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { BufferBudget, BufferOwner } from './bufferbudget.js'
import type { RequestBody } from './requestbody.js'
import { YieldWeight } from './yieldweight.js'

/** Memory for each byte of a head that is not complete: the parser's copy, and header fields as strings. */
const HEAD_FACTOR = 2

/** Part of an incomplete head from which it is counted, in bytes; shorter ones are part of each connection's memory. */
const MIN_HEAD_BYTES = 1 << 10

/** A connection of a caller. */
export class CallerConnection implements BufferOwner {
  readonly yieldWeight = YieldWeight.notRun
  /** The responses that are not finished. */
  readonly responses = new Set<ServerResponse>()
  /** The latest request, while its body arrives. */
  receiving: RequestBody | undefined
  /** Bytes that were received with the latest request, its body included. */
  private requestBytes = 0

  /**
   * @param socket - the connection
   * @param budget - the memory of all requests and responses
   */
  constructor (readonly socket: Socket, private readonly budget: BufferBudget) {}

  /** Records that what was received is no part of an incomplete head: a request begins or has ended. */
  recordRequest (): void {
    this.requestBytes = this.socket.bytesRead
  }

  /** Counts the bytes of a head that is not complete. */
  countHead (): void {
    const headBytes = this.responses.size > 0 ? 0 : this.socket.bytesRead - this.requestBytes
    this.budget.set(this, headBytes < MIN_HEAD_BYTES ? 0 : HEAD_FACTOR * headBytes)
  }

  /**
   * Ends the responses of a connection that was closed. Node reports the end of the connection to the first of several
   * responses only; the others would be kept for ever.
   */
  close (): void {
    this.budget.set(this, 0)
    for (const response of [...this.responses]) {
      response.destroy()
      response.emit('close')
    }
  }

  onBufferExhausted (): void {
    this.socket.destroy()
  }
}
