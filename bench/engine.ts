import type { Agenda } from './clock.js'

/** How fast a fake engine is. */
export interface Make {
  readonly name: string
  readonly batch: number
  readonly prefillPerMs: number
  readonly stepMs: number
  readonly stepPerSequenceMs: number
}

/** What is told of a sequence that an engine runs. */
export interface Watcher {
  token (): void
  done (): void
  /** The engine died: nothing more will come. */
  lost (): void
}

interface Sequence {
  readonly prompt: number
  readonly length: number
  readonly watcher: Watcher
  produced: number
  cancelled: boolean
}

/** A fake engine in virtual time: continuous batching, no priorities. */
export class FakeEngine {
  private waiting: Sequence[] = []
  private running: Sequence[] = []
  private stepping = false
  private dead = false
  /** Steps take this many times as long. */
  slow = 1
  /** The load as reported a while ago. */
  report = 0
  /** Tokens produced. */
  tokens = 0

  /**
   * @param make - how fast it is
   * @param agenda - virtual time
   */
  constructor (readonly make: Make, private readonly agenda: Agenda) {}

  /** Sequences inside. */
  get load (): number {
    return this.waiting.length + this.running.length
  }

  /** Whether it takes requests. */
  get isAlive (): boolean {
    return !this.dead
  }

  /**
   * @param prompt - prompt tokens
   * @param length - output tokens
   * @param watcher - told of the progress
   * @returns cancels the sequence
   */
  start (prompt: number, length: number, watcher: Watcher): () => void {
    const sequence = { prompt, length, watcher, produced: 0, cancelled: false }
    if (this.dead) {
      watcher.lost()
      return () => undefined
    }
    this.waiting.push(sequence)
    this.wake()
    return () => { sequence.cancelled = true }
  }

  /** Dies with all it runs. */
  die (): void {
    this.dead = true
    const lost = [...this.running, ...this.waiting]
    this.running = []
    this.waiting = []
    for (const sequence of lost) sequence.watcher.lost()
  }

  /** Comes back empty. */
  revive (): void {
    this.dead = false
  }

  private wake (): void {
    if (this.stepping) return
    this.stepping = true
    this.agenda.plan(this.agenda.now, () => this.step())
  }

  private step (): void {
    this.running = this.running.filter(sequence => !sequence.cancelled)
    this.waiting = this.waiting.filter(sequence => !sequence.cancelled)
    let ms = 0
    while (this.running.length < this.make.batch && this.waiting.length > 0) {
      const sequence = this.waiting.shift()!
      ms += sequence.prompt / this.make.prefillPerMs
      this.running.push(sequence)
    }
    if (this.running.length === 0) {
      this.stepping = false
      return
    }
    ms += this.make.stepMs + this.make.stepPerSequenceMs * (this.running.length - 1)
    this.agenda.plan(this.agenda.now + ms * this.slow, () => this.finishStep())
  }

  private finishStep (): void {
    const ended: Sequence[] = []
    for (const sequence of [...this.running]) {
      if (sequence.cancelled) continue
      sequence.produced++
      this.tokens++
      sequence.watcher.token()
      if (sequence.produced >= sequence.length) ended.push(sequence)
    }
    this.running = this.running.filter(sequence => !ended.includes(sequence))
    for (const sequence of ended) sequence.watcher.done()
    this.step()
  }
}
