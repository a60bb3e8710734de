/** A source of random numbers. */
export interface Random {
  /** @returns a number from 0 up to but not including 1 */
  next (): number
}

/** The runtime's `Math.random`. */
export class SystemRandom implements Random {
  next (): number {
    return Math.random()
  }
}

/** A deterministic generator (mulberry32): equal seeds give equal sequences. */
export class SeededRandom implements Random {
  private state: number

  /** @param seed - any 32-bit number */
  constructor (seed: number) {
    this.state = seed >>> 0
  }

  next (): number {
    this.state = (this.state + 0x6d2b79f5) >>> 0
    let value = this.state
    value = Math.imul(value ^ (value >>> 15), value | 1)
    value ^= value + Math.imul(value ^ (value >>> 7), value | 61)
    return ((value ^ (value >>> 14)) >>> 0) / 2 ** 32
  }
}
