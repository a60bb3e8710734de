/** Most memory for the parts of all responses that are buffered until they can be forwarded, in bytes. */
const MAX_TOTAL_BYTES = 5 << 20

/** Buffers a part of a response. */
export interface BufferOwner {
  /** Called when the memory of all responses is used up and this one's is the largest part of it. */
  onBufferExhausted (): void
}

/** Limits the memory of all responses in progress together. */
export class BufferBudget {
  private readonly owners = new Map<BufferOwner, number>()
  private totalBytes = 0

  /**
   * Sets how much memory a response uses. If all together use too much, the largest are aborted.
   *
   * @param owner - buffers the response
   * @param bytes - memory of the buffer, in bytes; 0 frees it
   */
  set (owner: BufferOwner, bytes: number): void {
    this.totalBytes += bytes - (this.owners.get(owner) ?? 0)
    if (bytes === 0) this.owners.delete(owner)
    else this.owners.set(owner, bytes)
    while (this.totalBytes > MAX_TOTAL_BYTES) this.abortLargest()
  }

  private abortLargest (): void {
    let largest: BufferOwner | undefined
    let largestBytes = 0
    for (const [owner, bytes] of this.owners) {
      if (bytes <= largestBytes) continue
      largest = owner
      largestBytes = bytes
    }
    if (largest === undefined) return
    this.set(largest, 0)
    largest.onBufferExhausted()
  }
}
