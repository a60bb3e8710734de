import type { MessageInitShape } from '@bufbuild/protobuf'
import * as pb from '../peer/index.js'
import { Outcome, type RequestResult, type ResponsePart } from '../owner/index.js'
import type { CoordinatorReply, DispatchLocation, KeyRecord, RecordOperation } from '../record/index.js'

const OUTCOME_CODES = {
  [Outcome.answered]: pb.Outcome.ANSWERED,
  [Outcome.notRun]: pb.Outcome.NOT_RUN,
  [Outcome.unknown]: pb.Outcome.UNKNOWN,
  [Outcome.preempted]: pb.Outcome.YIELDED,
  [Outcome.elsewhere]: pb.Outcome.ELSEWHERE
} as const

const RULING_CODES = {
  done: pb.Ruling.DONE,
  dispatched: pb.Ruling.DISPATCHED,
  barred: pb.Ruling.BARRED,
  mismatch: pb.Ruling.MISMATCH,
  lost: pb.Ruling.LOST,
  unavailable: pb.Ruling.UNAVAILABLE
} as const

const STEP_CODES = {
  open: pb.StepKind.OPEN,
  begin: pb.StepKind.BEGIN,
  bar: pb.StepKind.BAR,
  withdraw: pb.StepKind.WITHDRAW,
  drop: pb.StepKind.DROP
} as const

type RulingName = keyof typeof RULING_CODES
type StepName = keyof typeof STEP_CODES

/** Finds the name of an enum code. A code that this version does not know gives the fallback. */
function nameOf<Key extends string> (codes: Readonly<Record<Key, number>>, code: number, fallback: Key): Key {
  const found = (Object.keys(codes) as Key[]).find(key => codes[key] === code)
  return found ?? fallback
}

/** @returns the protobuf message for a part of an answer */
export function toChunk (part: ResponsePart): MessageInitShape<typeof pb.ChunkSchema> {
  switch (part.part) {
    case 'begun': return { part: { case: 'begun', value: { responseId: part.responseId } } }
    case 'events': return { part: { case: 'events', value: { data: part.data, last: part.lastSequenceNumber } } }
    case 'end': {
      const { outcome, reason, retryAfterMs, place, detail } = part.result
      const value = {
        outcome: OUTCOME_CODES[outcome],
        reason,
        retryAfterMs: Math.ceil(retryAfterMs),
        place,
        detail: detail ?? ''
      }
      return { part: { case: 'end', value } }
    }
  }
}

/** @returns the part of an answer in a message, or undefined if its kind is unknown */
export function fromChunk (chunk: pb.Chunk): ResponsePart | undefined {
  const { part } = chunk
  switch (part.case) {
    case 'begun': return { part: 'begun', responseId: part.value.responseId }
    case 'events': return { part: 'events', data: Buffer.from(part.value.data), lastSequenceNumber: part.value.last }
    case 'end': return { part: 'end', result: fromEnd(part.value) }
    default: return undefined
  }
}

function fromEnd (end: pb.End): RequestResult {
  const required: RequestResult = {
    outcome: nameOf<Outcome>(OUTCOME_CODES, end.outcome, Outcome.unknown),
    reason: end.reason,
    retryAfterMs: end.retryAfterMs
  }
  return {
    ...required,
    ...(end.place === undefined ? {} : { place: fromPlace(end.place) }),
    ...(end.detail === '' ? {} : { detail: end.detail })
  }
}

function fromPlace (place: pb.Place): DispatchLocation {
  return { server: place.server, responseId: place.responseId, attempt: place.attempt }
}

/** @returns the protobuf message for an idempotency record */
export function toRecord (record: KeyRecord): MessageInitShape<typeof pb.KeyRecordSchema> {
  return { ...record, withdrawn: [...record.withdrawn] }
}

/** @returns the idempotency record in a message */
export function fromRecord (message: pb.KeyRecord): KeyRecord {
  const { key, fingerprint, opened, barred, closed, withdrawn, at } = message
  const place = message.place === undefined ? undefined : fromPlace(message.place)
  return { key, fingerprint, opened, barred, closed, place, withdrawn, at }
}

/** @returns the protobuf message for an operation on an idempotency record */
export function toStepRequest (
  operation: RecordOperation, memberRevision: number
): MessageInitShape<typeof pb.StepRequestSchema> {
  const { key, fingerprint } = operation
  const place = 'place' in operation ? operation.place : undefined
  const arrived = 'arrived' in operation ? operation.arrived : 0
  return { kind: STEP_CODES[operation.kind], key, fingerprint, place, memberRevision, arrived }
}

/** @returns the operation in a message, or undefined if it lacks the server and attempt that its kind needs */
export function fromStepRequest (message: pb.StepRequest): RecordOperation | undefined {
  const { key, fingerprint, kind, place, arrived } = message
  const operationKind = nameOf<StepName>(STEP_CODES, kind, 'open')
  if (operationKind === 'open') return { kind: operationKind, key, fingerprint, arrived }
  if (operationKind === 'bar') return { kind: operationKind, key, fingerprint }
  return place === undefined ? undefined : { kind: operationKind, key, fingerprint, place: fromPlace(place) }
}

/** @returns the protobuf message for a key coordinator's reply */
export function toStepResponse (reply: CoordinatorReply): MessageInitShape<typeof pb.StepResponseSchema> {
  const attempt = 'record' in reply ? reply.record.opened : 0
  const closed = 'record' in reply ? reply.record.closed : 0
  const place = reply.status === 'dispatched' ? reply.place : undefined
  return { ruling: RULING_CODES[reply.status], attempt, place, closed }
}

/**
 * Converts the reply to an operation. The record is incomplete: the message carries only some of its fields.
 *
 * @param message - the key coordinator's reply
 * @param operation - the operation that was requested
 * @returns the reply in the message
 */
export function fromStepResponse (message: pb.StepResponse, operation: RecordOperation): CoordinatorReply {
  const ruling = nameOf<RulingName>(RULING_CODES, message.ruling, 'unavailable')
  const place = message.place === undefined ? undefined : fromPlace(message.place)
  const record: KeyRecord = {
    key: operation.key,
    fingerprint: operation.fingerprint,
    opened: message.attempt,
    barred: 0,
    closed: message.closed,
    place,
    withdrawn: [],
    at: 0
  }
  if (ruling === 'lost') return { status: ruling }
  if (ruling === 'unavailable') return { status: ruling, reason: 'the coordinator is unable to decide at the moment' }
  if (ruling !== 'dispatched') return { status: ruling, record }
  return place === undefined
    ? { status: 'unavailable', reason: 'the reply has no server and attempt' }
    : { status: ruling, record, place }
}
