/** Least size of a block after the first, in bytes; small chunks share a block. */
const MIN_BLOCK_BYTES = 1 << 10

/** Greatest size of a block that is larger than the chunk it is allocated for, in bytes. */
const MAX_BLOCK_BYTES = 64 << 10

/** Collects a body in blocks, so that nothing is copied before the body is complete. */
export class BodyBuffer {
  private readonly blocks: Buffer[] = []
  private usedBytesOfLast = 0
  private allocatedBytes = 0

  /** Memory that is allocated, in bytes. */
  get capacity (): number {
    return this.allocatedBytes
  }

  /** @param chunk - the next bytes of the body, which are copied */
  append (chunk: Buffer): void {
    const last = this.blocks.at(-1)
    const copiedBytes = last === undefined ? 0 : chunk.copy(last, this.usedBytesOfLast)
    this.usedBytesOfLast += copiedBytes
    if (copiedBytes < chunk.length) this.addBlock(chunk.subarray(copiedBytes))
  }

  /** @returns the body so far */
  toBuffer (): Buffer {
    const last = this.blocks.at(-1)
    if (last === undefined) return Buffer.alloc(0)
    const used = last.subarray(0, this.usedBytesOfLast)
    return this.blocks.length === 1 ? used : Buffer.concat([...this.blocks.slice(0, -1), used])
  }

  private addBlock (bytes: Buffer): void {
    // A body that arrives at once needs no reserve.
    const reserve = this.blocks.length === 0
      ? 0
      : Math.max(MIN_BLOCK_BYTES, Math.min(MAX_BLOCK_BYTES, this.allocatedBytes))
    const block = Buffer.allocUnsafeSlow(Math.max(bytes.length, reserve))
    this.usedBytesOfLast = bytes.copy(block)
    this.allocatedBytes += block.length
    this.blocks.push(block)
  }
}
