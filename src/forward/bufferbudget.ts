/** Share of the budget that holders of large parts may use together; the rest is for small ones. */
const LARGE_SHARE = 0.75

/** Share of the budget that freed buffers may take before the garbage collector runs. */
const MAX_FREED_SHARE = 0.75

/** Size from which a part is large, in bytes; most requests are much smaller. */
const LARGE_BYTES = 64 << 10

/** Holds bytes of a request or a response in memory. */
export interface BufferOwner {
  /** How readily the owner gives way: that with the largest product of this and its bytes is first; 0 if it can't. */
  readonly yieldWeight: number
  /** Called when the budget is used up and this owner gives way. It must hold the bytes no longer. */
  onBufferExhausted (): void
}

/** Is told when the memory of requests and responses is short. */
export interface BufferObserver {
  /** Runs the garbage collector, which runs by itself only after some 64 MB of buffers were freed. */
  collectGarbage (): void
  /** @param count - how often an owner gave way so far */
  recordYield (count: number): void
}

/** Limits the memory for requests and responses of a process. */
export class BufferBudget {
  private readonly owners = new Map<BufferOwner, number>()
  private usedBytes = 0
  /** Bytes that were freed since the garbage collector ran. */
  private freedBytes = 0
  /** How often an owner gave way. */
  private yieldCount = 0

  /**
   * @param maxBytes - memory for all requests and responses together, in bytes
   * @param observer - is told when memory is short
   */
  constructor (private readonly maxBytes: number, private readonly observer?: BufferObserver) {}

  /** @returns the state, for a dump */
  dump (): Readonly<Record<string, unknown>> {
    return { bytes: this.usedBytes, maxBytes: this.maxBytes, yields: this.yieldCount }
  }

  /**
   * Sets how much memory an owner uses. If all together use too much, the first to give way are asked to.
   *
   * @param owner - holds the bytes
   * @param bytes - memory that it really uses, overhead included, in bytes; 0 frees it
   * @param copiedBytes - memory of buffers that were copied to it and are used no longer, in bytes
   */
  set (owner: BufferOwner, bytes: number, copiedBytes = 0): void {
    const changeBytes = bytes - (this.owners.get(owner) ?? 0)
    this.usedBytes += changeBytes
    this.recordFreed(copiedBytes - Math.min(0, changeBytes))
    if (bytes === 0) this.owners.delete(owner)
    else this.owners.set(owner, bytes)
    const limit = bytes < LARGE_BYTES ? this.maxBytes : LARGE_SHARE * this.maxBytes
    while (this.usedBytes > limit && this.releaseFirst()) { /* until it fits, or nobody can give way */ }
  }

  /**
   * Records buffers that are used no longer, and that no owner held.
   *
   * @param bytes - their memory, in bytes
   */
  recordFreed (bytes: number): void {
    this.freedBytes += bytes
    if (this.freedBytes < MAX_FREED_SHARE * this.maxBytes) return
    this.freedBytes = 0
    this.observer?.collectGarbage()
  }

  /** @returns whether an owner gave way */
  private releaseFirst (): boolean {
    let first: BufferOwner | undefined
    let firstWeight = 0
    for (const [owner, bytes] of this.owners) {
      const weight = bytes * owner.yieldWeight
      if (weight <= firstWeight) continue
      first = owner
      firstWeight = weight
    }
    if (first === undefined) return false
    this.yieldCount++
    this.observer?.recordYield(this.yieldCount)
    this.set(first, 0)
    first.onBufferExhausted()
    return true
  }
}
