import { AdmissionController, type Effect, type Job, OutputLengths } from '../src/admission/index.js'
import { SeededRandom } from '../src/base/index.js'
import { TOP_TIER } from '../src/config/index.js'
import { Health } from '../src/owner/index.js'
import type { FakeEngine } from './engine.js'
import type { Request } from './trace.js'
import { type Policy, runOn, type Scene } from './policy.js'
import { End, type Note } from './result.js'

const CANDIDATES = 3
const GREATEST_TRIES = 6

interface Server {
  readonly engine: FakeEngine
  readonly admission: AdmissionController
  readonly health: Health
}

interface Open {
  readonly note: Note
  readonly tried: Set<Server>
  cancel: () => void
  hadTokens: number
}

/** The product's own decisions: the same classes, in virtual time. */
export class Own implements Policy {
  readonly name = 'marigoldvalve'
  private readonly servers: Server[]
  private readonly open = new Map<string, Open>()
  private readonly lengths = new OutputLengths()
  private readonly random = new SeededRandom(7)

  /** @param scene - time and engines */
  constructor (private readonly scene: Scene) {
    this.servers = scene.engines.map(engine => ({ engine, admission: new AdmissionController(), health: new Health() }))
  }

  take (request: Request, note: Note): void {
    this.open.set(request.id, { note, tried: new Set(), cancel: () => undefined, hadTokens: 0 })
    this.place(request, 'no-server')
  }

  private place (request: Request, reason: string): void {
    const open = this.open.get(request.id)!
    const server = open.tried.size < GREATEST_TRIES ? this.choose(request, open.tried) : undefined
    if (server === undefined) {
      open.note.refusedUnfairly = request.kind.tier === 1 && this.hasLower(request.kind.tier)
      open.note.finish(End.refused, this.scene.agenda.now)
      this.open.delete(request.id)
      return
    }
    open.tried.add(server)
    this.carryOut(server, server.admission.submit(this.jobOf(request), this.scene.agenda.now))
  }

  private hasLower (tier: number): boolean {
    return this.servers.some(server => server.engine.isAlive &&
      server.admission.forecast(this.probeOf(tier), this.scene.agenda.now).yields)
  }

  private probeOf (tier: number): Job {
    const now = this.scene.agenda.now
    return {
      id: 'probe', tier, preemptionOrder: 0, organisation: '', className: '', arrivedAt: now, startBy: now, finishBy: now, promptTokens: 1, outputTokens: 1
    }
  }

  private choose (request: Request, tried: ReadonlySet<Server>): Server | undefined {
    const rest = this.servers.filter(server => !tried.has(server))
    const first: Server[] = []
    const others = [...rest]
    while (first.length < CANDIDATES && others.length > 0) {
      first.push(...others.splice(Math.floor(this.random.next() * others.length), 1))
    }
    return this.best(request, first) ?? this.best(request, others) ?? this.yielding(request, rest)
  }

  private yielding (request: Request, servers: readonly Server[]): Server | undefined {
    const now = this.scene.agenda.now
    if (request.kind.tier !== TOP_TIER) return undefined
    return servers.find(server => server.health.admits(now) &&
      server.admission.forecast(this.jobOf(request), now).yields)
  }

  private best (request: Request, servers: readonly Server[]): Server | undefined {
    const now = this.scene.agenda.now
    let best: { server: Server, waitMs: number } | undefined
    for (const server of servers) {
      if (!server.health.admits(now)) continue
      const forecast = server.admission.forecast(this.jobOf(request), now)
      if (!forecast.accepts) continue
      if (best === undefined || forecast.waitMs < best.waitMs) best = { server, waitMs: forecast.waitMs }
    }
    return best?.server
  }

  private jobOf (request: Request): Job {
    const { id, at, kind, organisation, prompt } = request
    return {
      id,
      tier: kind.tier,
      preemptionOrder: 0,
      organisation,
      className: kind.name,
      arrivedAt: at,
      startBy: at + kind.startWithinMs,
      finishBy: at + kind.finishWithinMs,
      promptTokens: prompt,
      outputTokens: this.lengths.estimate(kind.name, organisation)
    }
  }

  private carryOut (server: Server, effects: readonly Effect[]): void {
    for (const effect of effects) {
      const open = this.open.get(effect.job.id)
      if (open === undefined) continue
      if (effect.effect === 'refuse') this.place(open.note.request, effect.reason)
      else if (effect.effect === 'yield') this.yield(server, open)
      else this.dispatch(server, open)
    }
    const wakeAt = server.admission.wakeAt(this.scene.agenda.now)
    if (wakeAt === undefined) return
    this.scene.agenda.plan(wakeAt, () => this.carryOut(server, server.admission.decide(this.scene.agenda.now)))
  }

  private dispatch (server: Server, open: Open): void {
    const { note } = open
    const { agenda } = this.scene
    const { id } = note.request
    server.health.sent(agenda.now)
    const before = note.token.bind(note)
    note.token = now => {
      before(now)
      server.admission.recordTokens(id, 1, now)
    }
    open.cancel = runOn(agenda, server.engine, note, () => {
      if (note.end === End.answered) server.health.succeeded()
      else server.health.failed(agenda.now)
      if (note.end === End.answered) this.lengths.record(note.request.kind.name, note.request.organisation, note.tokens)
      this.release(server, id)
    })
  }

  private yield (server: Server, open: Open): void {
    open.cancel()
    open.note.finish(End.yielded, this.scene.agenda.now)
    this.release(server, open.note.request.id)
  }

  private release (server: Server, id: string): void {
    this.open.delete(id)
    this.scene.agenda.plan(this.scene.agenda.now, () =>
      this.carryOut(server, server.admission.remove(id, this.scene.agenda.now)))
  }
}
