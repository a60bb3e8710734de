import { errAsync, okAsync, type ResultAsync } from 'neverthrow'
import type { Forecast } from '../admission/index.js'
import type { Owners } from '../entry/index.js'
import type { Member, MembershipView } from '../member/index.js'
import type { Demand, KeyCoordinators, Owner, ResponsePart, Submission } from '../owner/index.js'
import { type OutgoingBody, PeerFailure, type Peers } from '../peer/index.js'
import {
  type CoordinatorReply, type KeyCoordinator, type KeyRecord, mintedBy, RecordFailure, type RecordOperation,
  type Replicas
} from '../record/index.js'
import type { Clock } from '../base/index.js'
import { fromChunk, fromRecord, fromStepResponse, toRecord, toStepRequest } from './wire.js'

/** Time-out of an operation at its key coordinator, which includes writing the record to a replica, in milliseconds. */
const STEP_TIMEOUT_MS = 2_500
const FORECAST_TIMEOUT_MS = 500
const TRANSFER_TIMEOUT_MS = 5_000

/** What is needed to route calls to coordinators, replicas and owners, on this host or on others. */
export interface RoutingContext {
  /** Returns this member's id. */
  readonly self: () => string
  readonly peers: Peers
  readonly view: () => MembershipView
  readonly clock: Clock
  readonly coordinator: () => KeyCoordinator
  readonly owner: () => Owner
}

const UNEXPECTED_REPLY: CoordinatorReply = { status: 'unavailable', reason: 'the coordinator sent an unexpected kind of reply' }

function recordFailure (cause: PeerFailure): RecordFailure {
  return new RecordFailure('RecordFailure', { code: 'unreachable', cause }, cause.message)
}

function viewMismatch (member: string): RecordFailure {
  return new RecordFailure('RecordFailure', { code: 'refused' }, `${member} refused: its membership view differs`)
}

function unknownMember (member: string): PeerFailure {
  return new PeerFailure('PeerFailure', { code: 'unreachable' }, `member ${member} is not in the membership view`)
}

/** Passes operations on a key to its coordinator: locally if this host is the coordinator, otherwise by a call. */
export class RoutedCoordinators implements KeyCoordinators {
  /** @param context - this host's components and connections to the others */
  constructor (private readonly context: RoutingContext) {}

  async applyStep (operation: RecordOperation): Promise<CoordinatorReply> {
    const { self, peers, view, clock, coordinator } = this.context
    const member = mintedBy(operation.key) ?? view().replicas(operation.key)[0] ?? self()
    if (member === self()) return await coordinator().execute(operation, clock.now())
    const callee = view().members.get(member)
    if (callee === undefined) return { status: 'unavailable', reason: `member ${member} is not in the membership view` }
    const reply = await peers.callOverLink(
      callee, { case: 'step', value: toStepRequest(operation, view().revision) }, STEP_TIMEOUT_MS)
    if (reply.isErr()) return { status: 'unavailable', reason: reply.error.message }
    return reply.value.case === 'stepReply' ? fromStepResponse(reply.value.value, operation) : UNEXPECTED_REPLY
  }
}

/** Reads and writes the idempotency records that other members store. */
export class RemoteReplicas implements Replicas {
  /** @param context - this host's components and connections to the others */
  constructor (private readonly context: RoutingContext) {}

  writeRecord (member: string, record: KeyRecord): ResultAsync<KeyRecord, RecordFailure> {
    const { self, peers, view } = this.context
    const callee = view().members.get(member)
    if (callee === undefined) return errAsync(recordFailure(unknownMember(member)))
    const value = { record: toRecord(record), from: self(), memberRevision: view().revision }
    return peers.callOverLink(callee, { case: 'copy', value })
      .mapErr(recordFailure)
      .andThen((reply): ResultAsync<KeyRecord, RecordFailure> => {
        const stored = reply.case === 'copyReply' && !reply.value.refused ? reply.value.record : undefined
        if (stored !== undefined) return okAsync(fromRecord(stored))
        return errAsync(viewMismatch(member))
      })
  }

  transferRecords (member: string, records: readonly KeyRecord[]): ResultAsync<void, RecordFailure> {
    const callee = this.context.view().members.get(member)
    if (callee === undefined) return errAsync(recordFailure(unknownMember(member)))
    const message = { records: records.map(toRecord) }
    return this.context.peers
      .call(callee, async (client, options) => await client.handover(message, options), TRANSFER_TIMEOUT_MS)
      .map(() => undefined).mapErr(recordFailure)
  }

  readRecord (member: string, key: string): ResultAsync<KeyRecord | undefined, RecordFailure> {
    const callee = this.context.view().members.get(member)
    if (callee === undefined) return errAsync(recordFailure(unknownMember(member)))
    const value = { key, memberRevision: this.context.view().revision }
    return this.context.peers.callOverLink(callee, { case: 'recall', value })
      .mapErr(recordFailure)
      .andThen((reply): ResultAsync<KeyRecord | undefined, RecordFailure> => {
        if (reply.case !== 'recallReply' || reply.value.refused) return errAsync(viewMismatch(member))
        return okAsync(reply.value.record === undefined ? undefined : fromRecord(reply.value.record))
      })
  }
}

/** Passes requests to the owner of a backend server: locally if this host owns it, otherwise by a call. */
export class RoutedOwners implements Owners {
  /** @param context - this host's components and connections to the others */
  constructor (private readonly context: RoutingContext) {}

  async forecast (server: string, demand: Demand): Promise<Forecast | undefined> {
    const owner = this.ownerOf(server)
    if (owner === undefined) return undefined
    if (owner.id === this.context.self()) return this.context.owner().forecast(server, demand, this.context.clock.now())
    const { workClass, ...rest } = demand
    const value = { ...rest, server, class: workClass.name }
    const reply = await this.context.peers.callOverLink(owner, { case: 'offer', value }, FORECAST_TIMEOUT_MS)
    if (reply.isErr() || reply.value.case !== 'offerReply') return undefined
    return reply.value.value.owned ? reply.value.value : undefined
  }

  async * submit (server: string, submission: Submission, signal: AbortSignal): AsyncGenerator<ResponsePart> {
    const owner = this.ownerOf(server)
    if (owner === undefined) throw unknownMember(`owning ${server}`)
    if (owner.id === this.context.self()) {
      yield * this.context.owner().submit(server, submission, this.context.clock.now()).read(-1, signal)
      return
    }
    const { workClass, body, ...rest } = submission
    const memberRevision = this.context.view().revision
    const value = { ...rest, server, class: workClass.name, body: Buffer.from(body), memberRevision }
    yield * this.streamParts(owner, { case: 'submit', value }, signal)
  }

  async * attach (
    server: string, responseId: string, after: number, isLocal: boolean, signal: AbortSignal
  ): AsyncGenerator<ResponsePart> {
    const owner = this.ownerOf(server)
    if (isLocal || owner === undefined || owner.id === this.context.self()) {
      yield * this.context.owner().attach(server, responseId).read(after, signal)
      return
    }
    yield * this.streamParts(owner, { case: 'attach', value: { server, responseId, after } }, signal)
  }

  async cancel (server: string, responseId: string): Promise<void> {
    const owner = this.ownerOf(server)
    if (owner === undefined || owner.id === this.context.self()) {
      await this.context.owner().cancel(server, responseId)
      return
    }
    await this.context.peers.callOverLink(owner, { case: 'cancel', value: { server, responseId } })
  }

  private async * streamParts (owner: Member, body: OutgoingBody, signal: AbortSignal): AsyncGenerator<ResponsePart> {
    for await (const chunk of this.context.peers.link(owner).stream(body, signal)) {
      const part = fromChunk(chunk)
      if (part !== undefined) yield part
    }
  }

  private ownerOf (server: string): Member | undefined {
    const view = this.context.view()
    const id = view.ownerOf(server)
    return id === undefined ? undefined : view.members.get(id)
  }
}
