import { isWorse, type Tally } from './tally.js'
import { Times } from './times.js'

/** One answer, or the lack of one, as evidence on its server's version. */
export interface Observation {
  readonly route: string
  readonly server: string
  /** Whether the server has the version that is moved to. */
  readonly isFresh: boolean
  readonly isFailure: boolean
  /** Whether the connection was lost, which ends all requests of a server at once. */
  readonly isLoss: boolean
  /** Pause between events, or length of the call, if known; in milliseconds. */
  readonly stepMs: number | undefined
}

/** Lost connections of one server within this time are one failure, in milliseconds: one crash, not a bad version. */
const ONE_LOSS_MS = 250

interface RouteEvidence {
  readonly fresh: Tally
  readonly old: Tally
  readonly times: Times
}

/** What answers of a version are like beside those of the others, by route and in all. */
export class Evidence {
  private readonly routes = new Map<string, RouteEvidence>()
  private readonly all = { fresh: { answers: 0, bad: 0 }, old: { answers: 0, bad: 0 } }
  private readonly lostAt = new Map<string, number>()

  /** Sound answers of the version. */
  get sound (): number {
    return this.all.fresh.answers - this.all.fresh.bad
  }

  /** Whether the version shows itself worse than the others, on some route or in all. */
  get isBad (): boolean {
    if (isWorse(this.all.fresh, this.all.old)) return true
    for (const { fresh, old } of this.routes.values()) if (isWorse(fresh, old)) return true
    return false
  }

  /**
   * @param seen - an answer, or the lack of one
   * @param now - steady time, in milliseconds
   */
  take (seen: Observation, now: number): void {
    if (seen.isLoss) {
      const before = this.lostAt.get(seen.server)
      this.lostAt.set(seen.server, now)
      if (before !== undefined && now - before < ONE_LOSS_MS) return
    }
    const route = this.of(seen.route)
    const isSlow = seen.stepMs !== undefined && route.times.take(seen.server, seen.isFresh, seen.stepMs)
    const side = seen.isFresh ? 'fresh' : 'old'
    for (const tally of [route[side], this.all[side]]) {
      tally.answers++
      if (seen.isFailure || isSlow) tally.bad++
    }
  }

  private of (name: string): RouteEvidence {
    let route = this.routes.get(name)
    if (route === undefined) {
      route = { fresh: { answers: 0, bad: 0 }, old: { answers: 0, bad: 0 }, times: new Times() }
      this.routes.set(name, route)
    }
    return route
  }
}
