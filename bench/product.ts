import { AdmissionController, type Effect, type Job, OutputLengths } from '../src/admission/index.js'
import { SeededRandom } from '../src/base/index.js'
import { HIGHEST_TIER } from '../src/config/index.js'
import { Health } from '../src/owner/index.js'
import type { SimulatedEngine } from './engine.js'
import type { TraceRequest } from './trace.js'
import { type Policy, runOnEngine, type Simulation } from './policy.js'
import { type RequestRecord, RequestStatus } from './result.js'

/** Number of servers drawn at random and compared first. */
const CANDIDATE_COUNT = 3
/** Number of servers a request is submitted to before it is refused. */
const MAX_SERVERS_TRIED = 6

interface Server {
  readonly engine: SimulatedEngine
  readonly admission: AdmissionController
  readonly health: Health
}

interface OpenRequest {
  readonly record: RequestRecord
  readonly triedServers: Set<Server>
  cancel: () => void
  receivedTokens: number
}

/**
 * The product's scheduling policy in virtual time. Admission control, estimates
 * of output lengths and health checks are the product's own classes; the choice of
 * a server is a simplified copy of that of an entry host.
 */
export class ProductPolicy implements Policy {
  readonly name = 'marigoldvalve'
  private readonly servers: Server[]
  private readonly openRequests = new Map<string, OpenRequest>()
  private readonly outputLengths = new OutputLengths()
  private readonly random = new SeededRandom(7)

  /** @param simulation - the clock and the engines of the run */
  constructor (private readonly simulation: Simulation) {
    this.servers = simulation.engines.map(engine =>
      ({ engine, admission: new AdmissionController(), health: new Health() }))
  }

  submit (request: TraceRequest, record: RequestRecord): void {
    this.openRequests.set(request.id, { record, triedServers: new Set(), cancel: () => undefined, receivedTokens: 0 })
    this.submitToServer(request, 'no-server')
  }

  /** Submits a request to the best server that has not refused it yet, or refuses it if there is none. */
  private submitToServer (request: TraceRequest, reason: string): void {
    const open = this.openRequests.get(request.id)!
    const server = open.triedServers.size < MAX_SERVERS_TRIED
      ? this.chooseServer(request, open.triedServers)
      : undefined
    if (server === undefined) {
      open.record.isRefusedUnfairly =
        request.requestClass.tier === 1 && this.hasPreemptibleWork(request.requestClass.tier)
      open.record.finish(RequestStatus.refused, this.simulation.clock.now)
      this.openRequests.delete(request.id)
      return
    }
    open.triedServers.add(server)
    this.applyEffects(server, server.admission.submit(this.createJob(request), this.simulation.clock.now))
  }

  /** Whether any server that is up runs work that a job of this tier could preempt. */
  private hasPreemptibleWork (tier: number): boolean {
    return this.servers.some(server => server.engine.isUp &&
      server.admission.forecast(this.createProbeJob(tier), this.simulation.clock.now).yields)
  }

  private createProbeJob (tier: number): Job {
    const now = this.simulation.clock.now
    return {
      id: 'probe',
      tier,
      preemptionOrder: 0,
      organisation: '',
      className: '',
      arrivedAt: now,
      startBy: now,
      finishBy: now,
      promptTokens: 1,
      outputTokens: 1
    }
  }

  /** Prefers a random sample of the untried servers, then the others, then one that can preempt for the request. */
  private chooseServer (request: TraceRequest, tried: ReadonlySet<Server>): Server | undefined {
    const untried = this.servers.filter(server => !tried.has(server))
    const candidates: Server[] = []
    const others = [...untried]
    while (candidates.length < CANDIDATE_COUNT && others.length > 0) {
      candidates.push(...others.splice(Math.floor(this.random.next() * others.length), 1))
    }
    return this.findShortestWait(request, candidates) ?? this.findShortestWait(request, others) ??
      this.findPreemptible(request, untried)
  }

  /** Finds a server that can preempt work of a lower tier; only requests of the highest tier preempt. */
  private findPreemptible (request: TraceRequest, servers: readonly Server[]): Server | undefined {
    const now = this.simulation.clock.now
    if (request.requestClass.tier !== HIGHEST_TIER) return undefined
    return servers.find(server => server.health.allowsRequest(now) &&
      server.admission.forecast(this.createJob(request), now).yields)
  }

  private findShortestWait (request: TraceRequest, servers: readonly Server[]): Server | undefined {
    const now = this.simulation.clock.now
    let best: { server: Server, waitMs: number } | undefined
    for (const server of servers) {
      if (!server.health.allowsRequest(now)) continue
      const forecast = server.admission.forecast(this.createJob(request), now)
      if (!forecast.accepts) continue
      if (best === undefined || forecast.waitMs < best.waitMs) best = { server, waitMs: forecast.waitMs }
    }
    return best?.server
  }

  private createJob (request: TraceRequest): Job {
    const { id, arrivedAt, requestClass, organisation, promptTokens } = request
    return {
      id,
      tier: requestClass.tier,
      preemptionOrder: 0,
      organisation,
      className: requestClass.name,
      arrivedAt,
      startBy: arrivedAt + requestClass.startWithinMs,
      finishBy: arrivedAt + requestClass.finishWithinMs,
      promptTokens,
      outputTokens: this.outputLengths.estimate(requestClass.name, organisation)
    }
  }

  /** Carries out the decisions of a server's admission control and schedules its next decision. */
  private applyEffects (server: Server, effects: readonly Effect[]): void {
    for (const effect of effects) {
      const open = this.openRequests.get(effect.job.id)
      if (open === undefined) continue
      if (effect.effect === 'refuse') this.submitToServer(open.record.request, effect.reason)
      else if (effect.effect === 'yield') this.preempt(server, open)
      else this.dispatch(server, open)
    }
    const wakeAt = server.admission.wakeAt(this.simulation.clock.now)
    if (wakeAt === undefined) return
    this.simulation.clock.schedule(wakeAt, () =>
      this.applyEffects(server, server.admission.decide(this.simulation.clock.now)))
  }

  private dispatch (server: Server, open: OpenRequest): void {
    const { record } = open
    const { clock } = this.simulation
    const { id } = record.request
    server.health.recordDispatch(clock.now)
    const recordToken = record.recordToken.bind(record)
    record.recordToken = now => {
      recordToken(now)
      server.admission.recordTokens(id, 1, now)
    }
    open.cancel = runOnEngine(clock, server.engine, record, () => {
      if (record.status === RequestStatus.answered) server.health.recordSuccess()
      else server.health.recordFailure(clock.now)
      if (
        record.status === RequestStatus.answered
      ) this.outputLengths.record(record.request.requestClass.name, record.request.organisation, record.outputTokens)
      this.release(server, id)
    })
  }

  private preempt (server: Server, open: OpenRequest): void {
    open.cancel()
    open.record.finish(RequestStatus.preempted, this.simulation.clock.now)
    this.release(server, open.record.request.id)
  }

  /** Removes a request that ended. Its slot is granted again in a later event of the same virtual time. */
  private release (server: Server, id: string): void {
    this.openRequests.delete(id)
    this.simulation.clock.schedule(this.simulation.clock.now, () =>
      this.applyEffects(server, server.admission.remove(id, this.simulation.clock.now)))
  }
}
