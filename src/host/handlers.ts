import { Code, ConnectError, type ServiceImpl } from '@connectrpc/connect'
import type { Clock } from '../base/index.js'
import type { Configuration } from '../config/index.js'
import type { Demand, Owner, Part, CrashHistory } from '../owner/index.js'
import * as pb from '../peer/index.js'
import type { Home } from '../record/index.js'
import type { Heartbeat } from './heartbeat.js'
import type { Log } from './log.js'
import type { Members } from './members.js'
import { fromRecord, fromStep, toChunk, toRecord, toRuling } from './wire.js'

/** What answers to other hosts work with. */
export interface HandlerTools {
  /** This member's id. */
  readonly self: () => string
  readonly clock: Clock
  readonly members: Members
  readonly configurations: Log & { readonly configuration: Configuration }
  readonly heartbeat: Heartbeat
  readonly home: Home
  readonly owner: Owner
  readonly suspects: CrashHistory
  readonly dump: () => object
}

type Impl = ServiceImpl<typeof pb.Peer>

/** Answers the calls of other hosts. */
export class Handlers implements pb.Answerer {
  /** @param tools - what the answers work with */
  constructor (private readonly tools: HandlerTools) {}

  /** @returns the handlers, bound */
  all (): Partial<Impl> {
    return {
      vouch: async request => ({ reached: await this.tools.heartbeat.reaches(request.member) }),
      entries: request => this.entries(request),
      link: (envelopes, context) => new pb.Exchange(this).run(envelopes, context.signal),
      handover: request => this.handover(request),
      dump: () => ({ json: JSON.stringify(this.tools.dump()) })
    }
  }

  reply (request: pb.InBody): Promise<pb.Body> | undefined {
    switch (request.case) {
      case 'step': return this.step(request.value).then(value => ({ case: 'stepReply', value }))
      case 'copy': return this.copy(request.value).then(value => ({ case: 'copyReply', value }))
      case 'crash': return this.crash(request.value).then(value => ({ case: 'crashReply', value }))
      case 'probe': return Promise.resolve({ case: 'probeReply', value: this.probe(request.value) })
      case 'recall': return this.recall(request.value).then(value => ({ case: 'recallReply', value }))
      case 'offer': return Promise.resolve({ case: 'offerReply', value: this.offer(request.value) })
      case 'cancel': return this.cancel(request.value).then(() => ({ case: 'cancelReply', value: {} }))
      default: return undefined
    }
  }

  chunks (request: pb.InBody, signal: AbortSignal): AsyncGenerator<pb.ChunkBody> | undefined {
    switch (request.case) {
      case 'submit': return this.submit(request.value, signal)
      case 'attach': return this.attach(request.value, signal)
      default: return undefined
    }
  }

  private probe (request: pb.ProbeRequest): { member: string, memberRevision: number, configRevision: number } {
    const { members, configurations, clock, heartbeat } = this.tools
    members.watch.hear(request.member, clock.now())
    heartbeat.told(request.member, request.memberRevision, request.configRevision)
    return { member: this.tools.self(), memberRevision: members.revision, configRevision: configurations.revision }
  }

  private async crash (request: pb.Crash): Promise<object> {
    this.tools.suspects.recordCrash(request.fingerprint, request.server, this.tools.clock.now())
    return {}
  }

  private entries (request: pb.EntriesRequest): { entries: Array<{ revision: number, body: string }> } {
    const log: Log = request.log === pb.Log.MEMBERS ? this.tools.members : this.tools.configurations
    return { entries: log.since(request.since) }
  }

  private async step (request: pb.StepRequest): Promise<ReturnType<typeof toRuling>> {
    const step = fromStep(request)
    if (step === undefined) throw new ConnectError('the step names no place', Code.InvalidArgument)
    await this.catchUp(request.memberRevision)
    return toRuling(await this.tools.home.take(step, this.tools.clock.now()))
  }

  private async copy (request: pb.CopyRequest): Promise<{ refused: boolean, record?: ReturnType<typeof toRecord> }> {
    if (request.record === undefined) throw new ConnectError('no record came', Code.InvalidArgument)
    await this.catchUp(request.memberRevision)
    const kept = this.tools.home.keep(fromRecord(request.record), request.from, this.tools.clock.now())
    return kept === undefined ? { refused: true } : { refused: false, record: toRecord(kept) }
  }

  private handover (request: pb.HandoverRequest): object {
    this.tools.home.adopt(request.records.map(fromRecord))
    return {}
  }

  private async recall (request: pb.RecallRequest):
  Promise<{ refused: boolean, record?: ReturnType<typeof toRecord> }> {
    await this.catchUp(request.memberRevision)
    if (this.tools.members.revision < request.memberRevision) return { refused: true }
    const record = this.tools.home.find(request.key)
    return record === undefined ? { refused: false } : { refused: false, record: toRecord(record) }
  }

  private offer (request: pb.OfferRequest): { owned: boolean, accepts: boolean, waitMs: number, yields: boolean } {
    const demand = this.demand(request)
    const forecast = demand === undefined
      ? undefined
      : this.tools.owner.forecast(request.server, demand, this.tools.clock.now())
    if (forecast === undefined) return { owned: false, accepts: false, waitMs: 0, yields: false }
    return { owned: true, ...forecast }
  }

  private async * submit (request: pb.SubmitRequest, signal: AbortSignal): AsyncGenerator<pb.ChunkBody> {
    await this.catchUp(request.memberRevision)
    const demand = this.demand(request)
    if (demand === undefined) throw new ConnectError(`there is no class "${request.class}"`, Code.FailedPrecondition)
    const { requestId, key, fingerprint, attempt, arrived, resendable } = request
    const body = Buffer.from(request.body).toString('utf8')
    const submission = { ...demand, requestId, key, fingerprint, attempt, body, arrived, resendable }
    const answer = this.tools.owner.submit(request.server, submission, this.tools.clock.now())
    yield * this.toChunks(answer.read(-1, signal))
  }

  private async * attach (request: pb.AttachRequest, signal: AbortSignal): AsyncGenerator<pb.ChunkBody> {
    yield * this.toChunks(this.tools.owner.attach(request.server, request.responseId).read(request.after, signal))
  }

  private async * toChunks (parts: AsyncGenerator<Part>): AsyncGenerator<pb.ChunkBody> {
    for await (const part of parts) yield toChunk(part)
  }

  private async cancel (request: pb.CancelRequest): Promise<void> {
    await this.tools.owner.cancel(request.server, request.responseId)
  }

  private demand (request: pb.OfferRequest | pb.SubmitRequest): Demand | undefined {
    const workClass = this.tools.configurations.configuration.classes.get(request.class)
    if (workClass === undefined) return undefined
    const { organisation, promptTokens, prefix, prefixTokens, outputLimit } = request
    return { organisation, workClass, promptTokens, prefix, prefixTokens, outputLimit }
  }

  /** Learns of the view that the caller decided on before deciding on it. */
  private async catchUp (revision: number): Promise<void> {
    if (revision > this.tools.members.revision) await this.tools.members.poll()
  }
}
