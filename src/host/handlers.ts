import { Code, ConnectError, type ServiceImpl } from '@connectrpc/connect'
import type { Clock } from '../base/index.js'
import type { Configuration } from '../config/index.js'
import type { CrashHistory, Demand, Owner, ResponsePart } from '../owner/index.js'
import * as pb from '../peer/index.js'
import type { KeyCoordinator } from '../record/index.js'
import type { Heartbeat } from './heartbeat.js'
import type { ReplicatedLog } from './log.js'
import type { MembershipLog } from './memberlog.js'
import { fromRecord, fromStepRequest, toChunk, toRecord, toStepResponse } from './wire.js'

/** The components that handle calls of other hosts. */
export interface HandlerContext {
  /** Returns this member's id. */
  readonly self: () => string
  readonly clock: Clock
  readonly membershipLog: MembershipLog
  readonly configurationLog: ReplicatedLog & { readonly configuration: Configuration }
  readonly heartbeat: Heartbeat
  readonly coordinator: KeyCoordinator
  readonly owner: Owner
  readonly crashHistory: CrashHistory
  readonly dump: () => object
}

type PeerServiceImpl = ServiceImpl<typeof pb.Peer>

/** Handles the calls of other hosts. */
export class PeerHandlers implements pb.RequestHandler {
  /** @param context - the components that the calls are passed to */
  constructor (private readonly context: HandlerContext) {}

  /** @returns the implementation of the Peer service */
  serviceHandlers (): Partial<PeerServiceImpl> {
    return {
      vouch: async request => ({ reached: await this.context.heartbeat.canReach(request.member) }),
      entries: request => this.handleEntries(request),
      link: (envelopes, context) => new pb.LinkServer(this).run(envelopes, context.signal),
      handover: request => this.handleHandover(request),
      dump: () => ({ json: JSON.stringify(this.context.dump()) })
    }
  }

  handleUnary (request: pb.IncomingBody): Promise<pb.OutgoingBody> | undefined {
    switch (request.case) {
      case 'step': return this.handleStep(request.value).then(value => ({ case: 'stepReply', value }))
      case 'copy': return this.handleCopy(request.value).then(value => ({ case: 'copyReply', value }))
      case 'crash': return this.handleCrash(request.value).then(value => ({ case: 'crashReply', value }))
      case 'probe': return Promise.resolve({ case: 'probeReply', value: this.handleProbe(request.value) })
      case 'recall': return this.handleRecall(request.value).then(value => ({ case: 'recallReply', value }))
      case 'offer': return Promise.resolve({ case: 'offerReply', value: this.handleOffer(request.value) })
      case 'cancel': return this.handleCancel(request.value).then(() => ({ case: 'cancelReply', value: {} }))
      default: return undefined
    }
  }

  handleStreaming (request: pb.IncomingBody, signal: AbortSignal): AsyncGenerator<pb.OutgoingChunk> | undefined {
    switch (request.case) {
      case 'submit': return this.handleSubmit(request.value, signal)
      case 'attach': return this.handleAttach(request.value, signal)
      default: return undefined
    }
  }

  private handleProbe (request: pb.ProbeRequest): { member: string, memberRevision: number, configRevision: number } {
    const { membershipLog, configurationLog, clock, heartbeat } = this.context
    membershipLog.failureDetector.recordContact(request.member, clock.now())
    heartbeat.handleRevisions(request.member, request.memberRevision, request.configRevision)
    return {
      member: this.context.self(),
      memberRevision: membershipLog.revision,
      configRevision: configurationLog.revision
    }
  }

  private async handleCrash (request: pb.Crash): Promise<object> {
    this.context.crashHistory.recordCrash(request.fingerprint, request.server, this.context.clock.now())
    return {}
  }

  private handleEntries (request: pb.EntriesRequest): { entries: Array<{ revision: number, body: string }> } {
    const log: ReplicatedLog = request.log === pb.Log.MEMBERS
      ? this.context.membershipLog
      : this.context.configurationLog
    return { entries: log.entriesSince(request.since) }
  }

  private async handleStep (request: pb.StepRequest): Promise<ReturnType<typeof toStepResponse>> {
    const operation = fromStepRequest(request)
    if (operation === undefined) throw new ConnectError('the step has no server and attempt', Code.InvalidArgument)
    await this.pollUpTo(request.memberRevision)
    return toStepResponse(await this.context.coordinator.execute(operation, this.context.clock.now()))
  }

  private async handleCopy (request: pb.CopyRequest):
  Promise<{ refused: boolean, record?: ReturnType<typeof toRecord> }> {
    if (request.record === undefined) throw new ConnectError('the copy request has no record', Code.InvalidArgument)
    await this.pollUpTo(request.memberRevision)
    const stored = this.context.coordinator.storeReplica(
      fromRecord(request.record), request.from, this.context.clock.now()
    )
    return stored === undefined ? { refused: true } : { refused: false, record: toRecord(stored) }
  }

  private handleHandover (request: pb.HandoverRequest): object {
    this.context.coordinator.acceptTransfer(request.records.map(fromRecord))
    return {}
  }

  private async handleRecall (request: pb.RecallRequest):
  Promise<{ refused: boolean, record?: ReturnType<typeof toRecord> }> {
    await this.pollUpTo(request.memberRevision)
    if (this.context.membershipLog.revision < request.memberRevision) return { refused: true }
    const record = this.context.coordinator.find(request.key)
    return record === undefined ? { refused: false } : { refused: false, record: toRecord(record) }
  }

  private handleOffer (
    request: pb.OfferRequest
  ): { owned: boolean, accepts: boolean, waitMs: number, yields: boolean } {
    const demand = this.toDemand(request)
    const forecast = demand === undefined
      ? undefined
      : this.context.owner.forecast(request.server, demand, this.context.clock.now())
    if (forecast === undefined) return { owned: false, accepts: false, waitMs: 0, yields: false }
    return { owned: true, ...forecast }
  }

  private async * handleSubmit (request: pb.SubmitRequest, signal: AbortSignal): AsyncGenerator<pb.OutgoingChunk> {
    await this.pollUpTo(request.memberRevision)
    const demand = this.toDemand(request)
    if (demand === undefined) throw new ConnectError(`unknown work class "${request.class}"`, Code.FailedPrecondition)
    const { requestId, key, fingerprint, attempt, arrived, resendable } = request
    const body = Buffer.from(request.body).toString('utf8')
    const submission = { ...demand, requestId, key, fingerprint, attempt, body, arrived, resendable }
    const answer = this.context.owner.submit(request.server, submission, this.context.clock.now())
    yield * this.toChunks(answer.read(-1, signal))
  }

  private async * handleAttach (request: pb.AttachRequest, signal: AbortSignal): AsyncGenerator<pb.OutgoingChunk> {
    yield * this.toChunks(this.context.owner.attach(request.server, request.responseId).read(request.after, signal))
  }

  private async * toChunks (parts: AsyncGenerator<ResponsePart>): AsyncGenerator<pb.OutgoingChunk> {
    for await (const part of parts) yield toChunk(part)
  }

  private async handleCancel (request: pb.CancelRequest): Promise<void> {
    await this.context.owner.cancel(request.server, request.responseId)
  }

  private toDemand (request: pb.OfferRequest | pb.SubmitRequest): Demand | undefined {
    const workClass = this.context.configurationLog.configuration.classes.get(request.class)
    if (workClass === undefined) return undefined
    const { organisation, promptTokens, prefix, prefixTokens, outputLimit } = request
    return { organisation, workClass, promptTokens, prefix, prefixTokens, outputLimit }
  }

  /** Reads the membership log if the calling host has a later revision, so that both decide on the same view. */
  private async pollUpTo (revision: number): Promise<void> {
    if (revision > this.context.membershipLog.revision) await this.context.membershipLog.poll()
  }
}
