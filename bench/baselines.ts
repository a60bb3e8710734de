import type { SimulatedEngine } from './engine.js'
import type { TraceRequest } from './trace.js'
import { type Policy, runOnEngine, type Simulation } from './policy.js'
import type { RequestRecord } from './result.js'

const noop = (): void => undefined

/** Sends requests to the engines in turn, whatever their load. */
export class RoundRobin implements Policy {
  readonly name = 'round robin'
  private nextIndex = 0

  /** @param simulation - the clock and the engines of the run */
  constructor (private readonly simulation: Simulation) {}

  submit (_: TraceRequest, record: RequestRecord): void {
    const engine = this.simulation.engines[this.nextIndex++ % this.simulation.engines.length]!
    runOnEngine(this.simulation.clock, engine, record, noop)
  }
}

/**
 * Sends each request to the engine with the lowest reported load relative to its
 * batch size. Reports are periodic, so the load can have changed since.
 */
export class LeastReportedLoad implements Policy {
  readonly name = 'least reported load'

  /** @param simulation - the clock and the engines of the run */
  constructor (private readonly simulation: Simulation) {}

  submit (_: TraceRequest, record: RequestRecord): void {
    const utilisation = (engine: SimulatedEngine): number => engine.reportedLoad / engine.profile.maxBatchSize
    const engine = [...this.simulation.engines].sort((a, b) => utilisation(a) - utilisation(b))[0]!
    runOnEngine(this.simulation.clock, engine, record, noop)
  }
}

/** Keeps one queue in order of arrival and runs up to a fixed number of requests on each engine. */
export class FixedLimitQueue implements Policy {
  readonly name = 'first come, fixed limit'
  private readonly queue: RequestRecord[] = []
  private readonly runningCounts = new Map<SimulatedEngine, number>()

  /**
   * @param simulation - the clock and the engines of the run
   * @param limit - maximum number of concurrent requests on each engine
   */
  constructor (private readonly simulation: Simulation, private readonly limit: number) {}

  submit (_: TraceRequest, record: RequestRecord): void {
    this.queue.push(record)
    this.dispatchQueued()
  }

  private dispatchQueued (): void {
    for (const engine of this.simulation.engines) {
      let count = this.runningCounts.get(engine) ?? 0
      while (engine.isUp && count < this.limit && this.queue.length > 0) {
        this.runningCounts.set(engine, ++count)
        const record = this.queue.shift()!
        runOnEngine(this.simulation.clock, engine, record, () => {
          this.runningCounts.set(engine, this.runningCounts.get(engine)! - 1)
          this.simulation.clock.schedule(this.simulation.clock.now, () => this.dispatchQueued())
        })
      }
    }
  }
}
