/** Most bytes of headers and framing, beyond the length of the body, in bytes. */
const MAX_OVERHEAD_BYTES = 8 << 10

/** Longest body that is buffered until the response is complete, in bytes. */
const MAX_BUFFERED_BYTES = 4 << 20

/** Longest part of a stream without a new event, in bytes. */
const MAX_EVENT_BYTES = 256 << 10

/** Longest stream, in bytes. */
const MAX_STREAM_BYTES = 16 << 20

/** Limits what a server may send in one response. */
export class ReceiveLimit {
  private bodyBytes = 0
  /** Length of the body up to the last new event of a stream. */
  private eventBytes = 0
  private maxBodyBytes = 0
  private maxEventBytes = Infinity

  /**
   * Checks how much of what was received is not part of the body: headers, interim responses, chunk sizes and
   * extensions, trailers.
   *
   * @param bytes - bytes of the response that were received
   * @returns why the response is to be aborted, if it is
   */
  checkOverhead (bytes: number): string | undefined {
    const overhead = bytes - this.bodyBytes
    if (overhead < MAX_OVERHEAD_BYTES + this.bodyBytes) return undefined
    return `${overhead} bytes of headers and framing for ${this.bodyBytes} bytes of the body`
  }

  /**
   * Records that the head is complete.
   *
   * @param isStreaming - whether the events of the body are forwarded as they arrive
   * @param contentLength - stated length of the body in bytes; 0 if there is none
   * @returns why the response is to be aborted, if it is
   */
  recordHead (isStreaming: boolean, contentLength: number): string | undefined {
    this.maxBodyBytes = isStreaming ? MAX_STREAM_BYTES : MAX_BUFFERED_BYTES
    this.maxEventBytes = isStreaming ? MAX_EVENT_BYTES : Infinity
    return contentLength > this.maxBodyBytes ? `a Content-Length of ${contentLength} bytes` : undefined
  }

  /**
   * Records a part of the body.
   *
   * @param bytes - its length in bytes
   * @returns why the response is to be aborted, if it is
   */
  recordBody (bytes: number): string | undefined {
    this.bodyBytes += bytes
    if (this.bodyBytes > this.maxBodyBytes) return `a body of more than ${this.maxBodyBytes} bytes`
    const pendingBytes = this.bodyBytes - this.eventBytes
    return pendingBytes > this.maxEventBytes ? `${pendingBytes} bytes without a new event` : undefined
  }

  /** Records a new event of the stream. */
  recordEvent (): void {
    this.eventBytes = this.bodyBytes
  }
}
