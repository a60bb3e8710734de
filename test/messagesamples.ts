import { create, type DescMessage, type MessageInitShape, toBinary, toJson } from '@bufbuild/protobuf'
import { AskSchema, type Ask, type Reply, ReplySchema } from '../src/dispatch/dispatch_pb.js'
import { type SendEvent, SendEventSchema, SendRequestSchema, StatusResponseSchema } from '../src/relay/relay_pb.js'

/** A message as a build wrote it. */
export interface RecordedMessage {
  /** Name of its type. */
  readonly type: string
  /** Its bytes, in base64. */
  readonly bytes: string
  /** Its fields, in the JSON format of protocol buffers. */
  readonly fields: unknown
}

const PLACE = {
  service: 's',
  rank: 1,
  organisation: 'o',
  units: 2.5,
  promptTokens: 700,
  events: 40,
  ageMs: 12.5,
  objectiveMs: 600,
  pauseMs: 300,
  leftMs: 9_000,
  dataCentre: 'd',
  avoided: ['server-1'],
  repeat: true,
  charged: true,
  organisationRank: 2,
  lateInMs: -4,
  fingerprint: 'f',
  route: 'r',
  promptParts: ['p1', 'p2']
}

const ROWS = [
  { table: 'op', key: 'config', value: Buffer.from('{}'), removed: false, revision: 12 },
  { table: 'servers', key: 'server-1', value: new Uint8Array(), removed: true, revision: 13 }
]

const FEED = { rows: ROWS, standing: { revisions: [12, 13, 0, 1] }, outageGraceMs: 900, copyDoubtMs: 1_500 }

const CRASHES = {
  crashes: [{ server: 'server-1@1', parts: ['p1'], ageMs: 5 }],
  blocked: [{ part: 'p2', servers: ['server-1@1', 'server-2@1'], ageMs: 6 }],
  requests: [{ fingerprint: 'f1', servers: ['server-1@1', 'server-2@1'], ageMs: 7 }],
  disconnects: [{ fingerprint: 'f2', parts: ['p3'], server: 'server-3@1', grantedAgeMs: 9, ageMs: 8 }]
}

const ASKS: ReadonlyArray<NonNullable<MessageInitShape<typeof AskSchema>['body']>> = [
  { case: 'hello', value: { host: 'host-1', protocol: 2 } },
  { case: 'place', value: PLACE },
  { case: 'adopt', value: { place: PLACE, server: 'server-1', started: true } },
  { case: 'started', value: { server: 'server-1' } },
  { case: 'ended', value: { server: 'server-1', outcome: 'done', stepMs: 25 } },
  { case: 'withdraw', value: { service: 's' } },
  { case: 'ping', value: { standing: { revisions: [12, 13, 0, 1] } } },
  { case: 'news', value: { rows: ROWS } },
  { case: 'behind', value: { standing: { revisions: [12, 0, 0, 1] } } },
  { case: 'levels', value: { levels: [{ organisation: 'o', level: 0.4, ageMs: 7 }] } },
  { case: 'silent', value: { server: 'server-1' } },
  { case: 'crashes', value: CRASHES },
  { case: 'requestLimit', value: { server: 'server-1', born: 1, requestsPerS: 2.5 } },
  { case: 'leaving', value: { server: 'server-1', born: 1 } },
  { case: 'brittle', value: { server: 'server-1', born: 1, rejectionsPerS: 3 } }
]

const REPLIES: ReadonlyArray<NonNullable<MessageInitShape<typeof ReplySchema>['body']>> = [
  { case: 'grant', value: { server: 'server-1', level: 0.4 } },
  { case: 'refused', value: { reason: 'capacity', retryAfterMs: 300 } },
  { case: 'waiting', value: {} },
  { case: 'pong', value: { standing: { revisions: [12, 13, 0, 1] }, storeAgeMs: 40 } },
  { case: 'news', value: { rows: ROWS } },
  { case: 'news', value: FEED },
  { case: 'behind', value: { standing: { revisions: [12, 0, 0, 1] } } },
  { case: 'paces', value: { paces: [{ server: 'server-1', tokenMs: 0.01, stepMs: 25 }] } },
  { case: 'crashes', value: CRASHES }
]

const EVENTS: ReadonlyArray<NonNullable<MessageInitShape<typeof SendEventSchema>['body']>> = [
  { case: 'sent', value: {} },
  { case: 'notSent', value: { reason: 'no-path' } },
  { case: 'head', value: { status: 200, headers: [Buffer.from('a'), Buffer.from('b')] } },
  { case: 'data', value: Buffer.from('bytes') },
  { case: 'end', value: {} },
  { case: 'failed', value: { reason: 'broken' } }
]

/** Types whose messages hosts send to each other, by name. */
export const MESSAGE_TYPES: Readonly<Record<string, DescMessage>> = Object.fromEntries(
  [AskSchema, ReplySchema, SendRequestSchema, SendEventSchema, StatusResponseSchema].map(type => [type.typeName, type])
)

/** @returns one message of each kind that hosts of this build send to each other */
export function recordMessages (): RecordedMessage[] {
  const asks: Ask[] = ASKS.map((body, index) => create(AskSchema, { job: index, body }))
  const replies: Reply[] = REPLIES.map((body, index) => create(ReplySchema, { job: index, body }))
  const events: SendEvent[] = EVENTS.map(body => create(SendEventSchema, { body }))
  const request = create(SendRequestSchema, {
    server: 'server-1', born: 1, method: 'POST', target: Buffer.from('/a'), headers: [Buffer.from('a')], body: Buffer.from('x')
  })
  return [
    ...asks.map(message => record(AskSchema, message)),
    ...replies.map(message => record(ReplySchema, message)),
    ...events.map(message => record(SendEventSchema, message)),
    record(SendRequestSchema, request),
    record(StatusResponseSchema, create(StatusResponseSchema, { accepts: true }))
  ]
}

function record<T extends DescMessage> (type: T, message: Parameters<typeof toBinary<T>>[1]): RecordedMessage {
  const bytes = Buffer.from(toBinary(type, message)).toString('base64')
  return { type: type.typeName, bytes, fields: toJson(type, message) }
}
