import { describe, it } from 'node:test'
import { expect } from 'earl'
import fc from 'fast-check'
import { create, type DescField, type DescMessage, fromBinary, ScalarType, toBinary } from '@bufbuild/protobuf'
import { Dispatcher, Gossip, Hub } from '../src/dispatch/index.js'
import { AskSchema, NewsSchema, ReplySchema } from '../src/dispatch/dispatch_pb.js'
import { Scheduler } from '../src/schedule/index.js'
import { Replica } from '../src/store/index.js'
import { FULL_SHARES, job, server } from './jobs.js'
import { fuzzParameters } from './fuzzparameters.js'
import { WIDE_LIMITS } from './rig.js'
import { ManualClock } from './time.js'

const STEP_MS = 25
const RUNS = 1_000

/** The newest revision that can be told from others: the last one of the last era. */
const MAX_REVISION = 2 ** 52 - 1

const TEXTS = fc.constantFrom('', 'a', 's', 'host', 'servers', 'done', 'broken', 'unreachable', '\n', '__proto__')
const DOUBLES = fc.constantFrom(NaN, Infinity, -Infinity, -1, 0, 0.5, 1, 40, 1e15, 1e308)
const COUNTS = fc.constantFrom(0, 1, 2, 2 ** 32 - 1)

/** @returns any value of a field of a message */
function fieldValue (field: DescField): fc.Arbitrary<unknown> {
  if (field.fieldKind === 'message') return messageValue(field.message)
  if (field.fieldKind !== 'list') return scalarValue(field.scalar)
  const item = field.listKind === 'message' ? messageValue(field.message) : scalarValue(field.scalar)
  return fc.array(item, { maxLength: 2 })
}

function scalarValue (type: ScalarType | undefined): fc.Arbitrary<unknown> {
  if (type === ScalarType.STRING) return TEXTS
  if (type === ScalarType.DOUBLE) return DOUBLES
  if (type === ScalarType.BOOL) return fc.boolean()
  if (type === ScalarType.BYTES) return fc.uint8Array({ maxLength: 3 })
  return COUNTS
}

/** @returns any content of a message without alternatives */
function messageValue (message: DescMessage): fc.Arbitrary<Record<string, unknown>> {
  return fc.record(Object.fromEntries(message.fields.map(field => [field.localName, fieldValue(field)])))
}

/** @returns any message with one of its alternatives, as it is read from the wire */
function anyMessage<Schema extends typeof AskSchema | typeof ReplySchema> (
  schema: Schema
): fc.Arbitrary<ReturnType<typeof create<Schema>>> {
  const bodies = schema.fields.filter(field => field.oneof !== undefined)
  const body = fc.oneof(...bodies.map(field => fieldValue(field).map(value => ({ case: field.localName, value }))))
  return fc.record({ job: COUNTS, body }).map(init => {
    return fromBinary(schema, toBinary(schema, create(schema, init as never))) as never
  })
}

describe('messages of other hosts, whatever they hold', () => {
  const servers = [server('a', { slots: 4 }), server('b', { slots: 4 })]

  function startHub (clock: ManualClock): { hub: Hub, scheduler: Scheduler } {
    const scheduler = new Scheduler(WIDE_LIMITS, true)
    scheduler.setServers(servers, clock.now())
    scheduler.setShares(FULL_SHARES, clock.now())
    const gossip = new Gossip(['servers', 'a'].map(table => new Replica(table, () => true)), clock, () => undefined)
    return { hub: new Hub(scheduler, gossip, clock), scheduler }
  }

  // Guards against the end of a scheduler's process, or requests of sound hosts that it serves no more.
  it('neither throw at the scheduler nor keep it from serving other hosts', () => {
    fc.assert(fc.property(fc.array(anyMessage(AskSchema), { maxLength: 12 }), asks => {
      const clock = new ManualClock()
      const { hub } = startHub(clock)
      const odd = hub.connect('odd', () => undefined)
      for (const ask of asks) {
        odd.send(ask)
        clock.advance(STEP_MS)
        hub.tick()
      }
      hub.disconnect('odd')
      hub.scheduler.dump(clock.now())
      const grants: string[] = []
      const dispatcher = new Dispatcher(clock, WIDE_LIMITS.retries)
      dispatcher.switchScheduler(hub.connect('sound', reply => dispatcher.handleReply(reply)))
      const now = clock.now()
      const handle = dispatcher.request(job('1', { arrivedAt: now, objectiveAt: now + 60_000, deadlineAt: now + 60_000 }), placement => {
        if (placement.kind === 'granted') grants.push(placement.server)
      })
      for (let i = 0; i < 400 && grants.length === 0; i++) {
        clock.advance(STEP_MS)
        hub.tick()
      }
      handle.withdraw()
      expect(grants.length).toEqual(1)
    }), fuzzParameters(RUNS))
  })

  it('do not throw at a host that uses the scheduler', () => {
    fc.assert(fc.property(fc.array(anyMessage(ReplySchema), { maxLength: 12 }), replies => {
      const clock = new ManualClock()
      const { hub } = startHub(clock)
      const dispatcher = new Dispatcher(clock, WIDE_LIMITS.retries)
      dispatcher.switchScheduler({ send: () => undefined })
      for (const reply of replies) {
        dispatcher.request(job('1'), () => undefined)
        dispatcher.handleReply(reply)
        if (reply.body.case === 'paces') hub.scheduler.loads.adoptSpeeds(reply.body.value.paces)
      }
      dispatcher.switchScheduler(hub.connect('h', reply => dispatcher.handleReply(reply)))
      hub.tick()
    }), fuzzParameters(RUNS))
  })

  // Guards against a host that stops following the store: a revision out of range seems newer than all that follow.
  it('do not keep a host from applying later rows', () => {
    const odd = DOUBLES.filter(value => !(value >= 0 && value <= MAX_REVISION))
    fc.assert(fc.property(fc.array(odd, { minLength: 1, maxLength: 3 }), revisions => {
      const applied: string[] = []
      const replica = new Replica('servers', row => applied.push(row.key) > 0)
      const gossip = new Gossip([replica], new ManualClock(), () => undefined)
      const row = { table: 'servers', key: 'odd', value: new Uint8Array(), removed: false }
      gossip.applyRows(create(NewsSchema, { rows: revisions.map(revision => ({ ...row, revision })) }))
      replica.advance(revisions[0]!)
      gossip.applyRows(create(NewsSchema, { rows: [{ ...row, key: 'sound', revision: 5 }] }))
      expect([applied, replica.newestRevision]).toEqual([['sound'], 5])
    }), fuzzParameters(RUNS))
  })
})
