import type { VirtualClock } from './clock.js'

/** Batch size and speed of a simulated engine. */
export interface EngineProfile {
  readonly name: string
  /** Maximum number of sequences in a batch. */
  readonly maxBatchSize: number
  /** Prompt tokens processed per millisecond. */
  readonly prefillTokensPerMs: number
  /** Duration of a decoding step with one sequence, in milliseconds. */
  readonly stepMs: number
  /** Additional duration of a step for each further sequence, in milliseconds. */
  readonly stepPerSequenceMs: number
}

/** Receives the progress of one sequence. */
export interface SequenceListener {
  onToken (): void
  onDone (): void
  /** Called when the engine crashed; no further calls follow. */
  onLost (): void
}

interface Sequence {
  readonly promptTokens: number
  readonly outputTokens: number
  readonly listener: SequenceListener
  producedTokens: number
  isCancelled: boolean
}

/** An inference engine in virtual time, with continuous batching and without priorities. */
export class SimulatedEngine {
  private waiting: Sequence[] = []
  private running: Sequence[] = []
  private isStepping = false
  private isDown = false
  /** Factor on the duration of every step; above 1 the engine is slower than its profile. */
  stepTimeFactor = 1
  /** The value of {@link SimulatedEngine.load} at the last periodic report. */
  reportedLoad = 0
  /** Output tokens produced since the start of the run. */
  producedTokens = 0

  /**
   * @param profile - batch size and speed
   * @param clock - virtual time of the run
   */
  constructor (readonly profile: EngineProfile, private readonly clock: VirtualClock) {}

  /** Number of sequences that wait or run. */
  get load (): number {
    return this.waiting.length + this.running.length
  }

  /** Whether the engine accepts requests. */
  get isUp (): boolean {
    return !this.isDown
  }

  /**
   * Adds a sequence to the engine's queue. If the engine is down, the sequence is lost at once.
   *
   * @param promptTokens - number of prompt tokens
   * @param outputTokens - number of tokens to produce
   * @param listener - receives the progress of the sequence
   * @returns a function that cancels the sequence
   */
  start (promptTokens: number, outputTokens: number, listener: SequenceListener): () => void {
    const sequence = { promptTokens, outputTokens, listener, producedTokens: 0, isCancelled: false }
    if (this.isDown) {
      listener.onLost()
      return () => undefined
    }
    this.waiting.push(sequence)
    this.scheduleStep()
    return () => { sequence.isCancelled = true }
  }

  /** Takes the engine down; all its sequences are lost. */
  crash (): void {
    this.isDown = true
    const lost = [...this.running, ...this.waiting]
    this.running = []
    this.waiting = []
    for (const sequence of lost) sequence.listener.onLost()
  }

  /** Brings a crashed engine up again, without sequences. */
  restart (): void {
    this.isDown = false
  }

  private scheduleStep (): void {
    if (this.isStepping) return
    this.isStepping = true
    this.clock.schedule(this.clock.now, () => this.startStep())
  }

  private startStep (): void {
    this.running = this.running.filter(sequence => !sequence.isCancelled)
    this.waiting = this.waiting.filter(sequence => !sequence.isCancelled)
    let durationMs = 0
    while (this.running.length < this.profile.maxBatchSize && this.waiting.length > 0) {
      const sequence = this.waiting.shift()!
      durationMs += sequence.promptTokens / this.profile.prefillTokensPerMs
      this.running.push(sequence)
    }
    if (this.running.length === 0) {
      this.isStepping = false
      return
    }
    durationMs += this.profile.stepMs + this.profile.stepPerSequenceMs * (this.running.length - 1)
    this.clock.schedule(this.clock.now + durationMs * this.stepTimeFactor, () => this.finishStep())
  }

  private finishStep (): void {
    const finished: Sequence[] = []
    for (const sequence of [...this.running]) {
      if (sequence.isCancelled) continue
      sequence.producedTokens++
      this.producedTokens++
      sequence.listener.onToken()
      if (sequence.producedTokens >= sequence.outputTokens) finished.push(sequence)
    }
    this.running = this.running.filter(sequence => !finished.includes(sequence))
    for (const sequence of finished) sequence.listener.onDone()
    this.startStep()
  }
}
