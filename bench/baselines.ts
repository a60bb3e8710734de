import type { FakeEngine } from './engine.js'
import type { Request } from './trace.js'
import { type Policy, runOn, type Scene } from './policy.js'
import type { Note } from './result.js'

const nothing = (): void => undefined

/** Each engine in turn, whatever its load. */
export class RoundRobin implements Policy {
  readonly name = 'round robin'
  private turn = 0

  /** @param scene - time and engines */
  constructor (private readonly scene: Scene) {}

  take (_: Request, note: Note): void {
    const engine = this.scene.engines[this.turn++ % this.scene.engines.length]!
    runOn(this.scene.agenda, engine, note, nothing)
  }
}

/** The engine whose lagging report shows the least load for its size. */
export class LeastReported implements Policy {
  readonly name = 'least reported load'

  /** @param scene - time and engines */
  constructor (private readonly scene: Scene) {}

  take (_: Request, note: Note): void {
    const shareOf = (engine: FakeEngine): number => engine.report / engine.make.batch
    const engine = [...this.scene.engines].sort((a, b) => shareOf(a) - shareOf(b))[0]!
    runOn(this.scene.agenda, engine, note, nothing)
  }
}

/** One queue in order of arrival, a fixed number of requests on each engine. */
export class FirstCome implements Policy {
  readonly name = 'first come, fixed limit'
  private readonly queue: Note[] = []
  private readonly running = new Map<FakeEngine, number>()

  /**
   * @param scene - time and engines
   * @param limit - requests at once on each engine
   */
  constructor (private readonly scene: Scene, private readonly limit: number) {}

  take (_: Request, note: Note): void {
    this.queue.push(note)
    this.pump()
  }

  private pump (): void {
    for (const engine of this.scene.engines) {
      let count = this.running.get(engine) ?? 0
      while (engine.isAlive && count < this.limit && this.queue.length > 0) {
        this.running.set(engine, ++count)
        const note = this.queue.shift()!
        runOn(this.scene.agenda, engine, note, () => {
          this.running.set(engine, this.running.get(engine)! - 1)
          this.scene.agenda.plan(this.scene.agenda.now, () => this.pump())
        })
      }
    }
  }
}
