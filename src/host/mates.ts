import { errAsync, okAsync, type ResultAsync } from 'neverthrow'
import type { Forecast } from '../admission/index.js'
import type { Owners } from '../entry/index.js'
import type { Member, View } from '../member/index.js'
import type { Demand, Homes, Owner, Part, Submission } from '../owner/index.js'
import { type Body, PeerFailure, type Peers } from '../peer/index.js'
import { type Answer, type Copies, type Home, type KeyRecord, mintedBy, RecordFailure, type Step } from '../record/index.js'
import type { Clock } from '../base/index.js'
import { fromChunk, fromRecord, fromRuling, toRecord, toStep } from './wire.js'

/** How long a home may take for a step, which includes its copy to another holder, in milliseconds. */
const STEP_TIMEOUT_MS = 2_500
const FORECAST_TIMEOUT_MS = 500
const HANDOVER_TIMEOUT_MS = 5_000

/** What the host works with to reach homes, holders and owners. */
export interface Reach {
  /** This member's id. */
  readonly self: () => string
  readonly peers: Peers
  readonly view: () => View
  readonly clock: Clock
  readonly home: () => Home
  readonly owner: () => Owner
}

/** The ruling on a reply of the wrong kind. */
const UNFIT: Answer = { ruling: 'unavailable', reason: 'the home sent a reply of another kind' }

function recordFailure (cause: PeerFailure): RecordFailure {
  return new RecordFailure('RecordFailure', { code: 'unreachable', cause }, cause.message)
}

function refusal (member: string): RecordFailure {
  return new RecordFailure('RecordFailure', { code: 'refused' }, `${member} has another view`)
}

function absent (member: string): PeerFailure {
  return new PeerFailure('PeerFailure', { code: 'unreachable' }, `member ${member} is not there`)
}

/** The homes of keys: this host's own, or called on others. */
export class ReachedHomes implements Homes {
  /** @param reach - how to reach them */
  constructor (private readonly reach: Reach) {}

  async take (step: Step): Promise<Answer> {
    const { self, peers, view, clock, home } = this.reach
    const member = mintedBy(step.key) ?? view().holders(step.key)[0] ?? self()
    if (member === self()) return await home().take(step, clock.now())
    const callee = view().members.get(member)
    if (callee === undefined) return { ruling: 'unavailable', reason: `member ${member} is not there` }
    const reply = await peers.ask(callee, { case: 'step', value: toStep(step, view().revision) }, STEP_TIMEOUT_MS)
    if (reply.isErr()) return { ruling: 'unavailable', reason: reply.error.message }
    return reply.value.case === 'stepReply' ? fromRuling(reply.value.value, step) : UNFIT
  }
}

/** The records that other members hold. */
export class ReachedCopies implements Copies {
  /** @param reach - how to reach them */
  constructor (private readonly reach: Reach) {}

  copy (member: string, record: KeyRecord): ResultAsync<KeyRecord, RecordFailure> {
    const { self, peers, view } = this.reach
    const callee = view().members.get(member)
    if (callee === undefined) return errAsync(recordFailure(absent(member)))
    const value = { record: toRecord(record), from: self(), memberRevision: view().revision }
    return peers.ask(callee, { case: 'copy', value })
      .mapErr(recordFailure)
      .andThen((reply): ResultAsync<KeyRecord, RecordFailure> => {
        const kept = reply.case === 'copyReply' && !reply.value.refused ? reply.value.record : undefined
        if (kept !== undefined) return okAsync(fromRecord(kept))
        return errAsync(refusal(member))
      })
  }

  handover (member: string, records: readonly KeyRecord[]): ResultAsync<void, RecordFailure> {
    const callee = this.reach.view().members.get(member)
    if (callee === undefined) return errAsync(recordFailure(absent(member)))
    const message = { records: records.map(toRecord) }
    return this.reach.peers
      .call(callee, async (client, options) => await client.handover(message, options), HANDOVER_TIMEOUT_MS)
      .map(() => undefined).mapErr(recordFailure)
  }

  recall (member: string, key: string): ResultAsync<KeyRecord | undefined, RecordFailure> {
    const callee = this.reach.view().members.get(member)
    if (callee === undefined) return errAsync(recordFailure(absent(member)))
    const value = { key, memberRevision: this.reach.view().revision }
    return this.reach.peers.ask(callee, { case: 'recall', value })
      .mapErr(recordFailure)
      .andThen((reply): ResultAsync<KeyRecord | undefined, RecordFailure> => {
        if (reply.case !== 'recallReply' || reply.value.refused) return errAsync(refusal(member))
        return okAsync(reply.value.record === undefined ? undefined : fromRecord(reply.value.record))
      })
  }
}

/** The owners of backend servers: this host, or called on others. */
export class ReachedOwners implements Owners {
  /** @param reach - how to reach them */
  constructor (private readonly reach: Reach) {}

  async forecast (server: string, demand: Demand): Promise<Forecast | undefined> {
    const callee = this.ownerOf(server)
    if (callee === undefined) return undefined
    if (callee.id === this.reach.self()) return this.reach.owner().forecast(server, demand, this.reach.clock.now())
    const { workClass, ...rest } = demand
    const value = { ...rest, server, class: workClass.name }
    const reply = await this.reach.peers.ask(callee, { case: 'offer', value }, FORECAST_TIMEOUT_MS)
    if (reply.isErr() || reply.value.case !== 'offerReply') return undefined
    return reply.value.value.owned ? reply.value.value : undefined
  }

  async * submit (server: string, submission: Submission, signal: AbortSignal): AsyncGenerator<Part> {
    const callee = this.ownerOf(server)
    if (callee === undefined) throw absent(`owning ${server}`)
    if (callee.id === this.reach.self()) {
      yield * this.reach.owner().submit(server, submission, this.reach.clock.now()).read(-1, signal)
      return
    }
    const { workClass, body, ...rest } = submission
    const memberRevision = this.reach.view().revision
    const value = { ...rest, server, class: workClass.name, body: Buffer.from(body), memberRevision }
    yield * this.parts(callee, { case: 'submit', value }, signal)
  }

  async * attach (
    server: string, responseId: string, after: number, isLocal: boolean, signal: AbortSignal
  ): AsyncGenerator<Part> {
    const callee = this.ownerOf(server)
    if (isLocal || callee === undefined || callee.id === this.reach.self()) {
      yield * this.reach.owner().attach(server, responseId).read(after, signal)
      return
    }
    yield * this.parts(callee, { case: 'attach', value: { server, responseId, after } }, signal)
  }

  async cancel (server: string, responseId: string): Promise<void> {
    const callee = this.ownerOf(server)
    if (callee === undefined || callee.id === this.reach.self()) {
      await this.reach.owner().cancel(server, responseId)
      return
    }
    await this.reach.peers.ask(callee, { case: 'cancel', value: { server, responseId } })
  }

  private async * parts (callee: Member, body: Body, signal: AbortSignal): AsyncGenerator<Part> {
    for await (const chunk of this.reach.peers.link(callee).stream(body, signal)) {
      const part = fromChunk(chunk)
      if (part !== undefined) yield part
    }
  }

  private ownerOf (server: string): Member | undefined {
    const view = this.reach.view()
    const id = view.ownerOf(server)
    return id === undefined ? undefined : view.members.get(id)
  }
}
