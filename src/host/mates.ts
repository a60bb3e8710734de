import { errAsync, okAsync, type ResultAsync } from 'neverthrow'
import type { Forecast } from '../admission/index.js'
import type { Owners } from '../entry/index.js'
import type { Member, View } from '../member/index.js'
import type { Demand, Homes, Owner, Part, Submission } from '../owner/index.js'
import { PeerFailure, type Peers } from '../peer/index.js'
import { type Answer, type Copies, type Home, type KeyRecord, RecordFailure, type Step } from '../record/index.js'
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

function recordFailure (cause: PeerFailure): RecordFailure {
  return new RecordFailure('RecordFailure', { code: 'unreachable', cause }, cause.message)
}

function absent (member: string): PeerFailure {
  return new PeerFailure('PeerFailure', { code: 'unreachable' }, `member ${member} is not there`)
}

/** The homes of keys: this host's own, or called on others. */
export class ReachedHomes implements Homes {
  /** @param reach - how to reach them */
  constructor (private readonly reach: Reach) {}

  async take (member: string, step: Step): Promise<Answer> {
    const { self, peers, view, clock, home } = this.reach
    if (member === self()) return await home().take(step, clock.now())
    const callee = view().members.get(member)
    if (callee === undefined) return { ruling: 'unavailable', reason: `member ${member} is not there` }
    const message = toStep(step, view().revision)
    const reply = await peers
      .call(callee, async (client, options) => await client.step(message, options), STEP_TIMEOUT_MS)
    return reply.isOk() ? fromRuling(reply.value, step) : { ruling: 'unavailable', reason: reply.error.message }
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
    const message = { record: toRecord(record), from: self(), memberRevision: view().revision }
    return peers.call(callee, async (client, options) => await client.copy(message, options))
      .mapErr(recordFailure)
      .andThen((reply): ResultAsync<KeyRecord, RecordFailure> => {
        if (!reply.refused && reply.record !== undefined) return okAsync(fromRecord(reply.record))
        return errAsync(new RecordFailure('RecordFailure', { code: 'refused' }, `${member} knows another home`))
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
    return this.reach.peers.call(callee, async (client, options) => await client.recall({ key }, options))
      .map(reply => reply.record === undefined ? undefined : fromRecord(reply.record)).mapErr(recordFailure)
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
    const message = { ...rest, server, class: workClass.name }
    const reply = await this.reach.peers
      .call(callee, async (client, options) => await client.offer(message, options), FORECAST_TIMEOUT_MS)
    return reply.isOk() ? reply.value : undefined
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
    const message = { ...rest, server, class: workClass.name, body: Buffer.from(body), memberRevision }
    for await (const chunk of this.reach.peers.client(callee).submit(message, { signal })) {
      const part = fromChunk(chunk)
      if (part !== undefined) yield part
    }
  }

  async * attach (
    server: string, responseId: string, after: number, isLocal: boolean, signal: AbortSignal
  ): AsyncGenerator<Part> {
    const callee = this.ownerOf(server)
    if (isLocal || callee === undefined || callee.id === this.reach.self()) {
      yield * this.reach.owner().attach(server, responseId).read(after, signal)
      return
    }
    const message = { server, responseId, after }
    for await (const chunk of this.reach.peers.client(callee).attach(message, { signal })) {
      const part = fromChunk(chunk)
      if (part !== undefined) yield part
    }
  }

  async cancel (server: string, responseId: string): Promise<void> {
    const callee = this.ownerOf(server)
    if (callee === undefined || callee.id === this.reach.self()) {
      await this.reach.owner().cancel(server, responseId)
      return
    }
    await this.reach.peers.call(callee, async (client, options) => await client.cancel({ server, responseId }, options))
  }

  private ownerOf (server: string): Member | undefined {
    const view = this.reach.view()
    const id = view.ownerOf(server)
    return id === undefined ? undefined : view.members.get(id)
  }
}
