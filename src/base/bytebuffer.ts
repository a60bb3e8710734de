/** Least capacity that is allocated, in bytes. */
const MIN_CAPACITY_BYTES = 1 << 10

/** Bytes that arrive in chunks of any size, in one buffer whose capacity at most doubles when it is full. */
export class ByteBuffer {
  private storage: Buffer = Buffer.alloc(0)
  private usedBytes = 0

  /** Number of bytes. */
  get length (): number {
    return this.usedBytes
  }

  /** Memory that is allocated, in bytes. */
  get capacity (): number {
    return this.storage.length
  }

  /** The bytes so far, not copied; valid until the next call of `append`. */
  get bytes (): Buffer {
    return this.storage.subarray(0, this.usedBytes)
  }

  /** @param chunk - bytes to add, which are copied */
  append (chunk: Buffer): void {
    const length = this.usedBytes + chunk.length
    if (length > this.storage.length) this.grow(length)
    chunk.copy(this.storage, this.usedBytes)
    this.usedBytes = length
  }

  /** Removes all bytes and frees their memory. */
  clear (): void {
    this.storage = Buffer.alloc(0)
    this.usedBytes = 0
  }

  private grow (minimum: number): void {
    const doubled = Math.max(MIN_CAPACITY_BYTES, 2 * this.storage.length)
    // A body that arrives at once needs no reserve.
    const grown = Buffer.allocUnsafeSlow(this.usedBytes === 0 ? minimum : Math.max(doubled, minimum))
    this.bytes.copy(grown)
    this.storage = grown
  }
}
