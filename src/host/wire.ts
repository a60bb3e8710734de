import type { MessageInitShape } from '@bufbuild/protobuf'
import * as pb from '../peer/index.js'
import { type Ending, Outcome, type Part } from '../owner/index.js'
import type { Answer, KeyRecord, Place, Step } from '../record/index.js'

const OUTCOMES = {
  [Outcome.answered]: pb.Outcome.ANSWERED,
  [Outcome.notRun]: pb.Outcome.NOT_RUN,
  [Outcome.unknown]: pb.Outcome.UNKNOWN,
  [Outcome.yielded]: pb.Outcome.YIELDED,
  [Outcome.elsewhere]: pb.Outcome.ELSEWHERE
} as const

const RULINGS = {
  done: pb.Ruling.DONE,
  dispatched: pb.Ruling.DISPATCHED,
  barred: pb.Ruling.BARRED,
  mismatch: pb.Ruling.MISMATCH,
  lost: pb.Ruling.LOST,
  unavailable: pb.Ruling.UNAVAILABLE
} as const

const STEPS = {
  open: pb.StepKind.OPEN,
  begin: pb.StepKind.BEGIN,
  bar: pb.StepKind.BAR,
  withdraw: pb.StepKind.WITHDRAW,
  drop: pb.StepKind.DROP
} as const

type Ruled = keyof typeof RULINGS
type Stepped = keyof typeof STEPS

function keyOf<Key extends string> (values: Readonly<Record<Key, number>>, wanted: number, otherwise: Key): Key {
  const found = (Object.keys(values) as Key[]).find(key => values[key] === wanted)
  return found ?? otherwise
}

/** @returns the message for a part of an answer */
export function toChunk (part: Part): MessageInitShape<typeof pb.ChunkSchema> {
  switch (part.part) {
    case 'begun': return { part: { case: 'begun', value: { responseId: part.responseId } } }
    case 'events': return { part: { case: 'events', value: { data: part.data, last: part.last } } }
    case 'end': {
      const { outcome, reason, retryAfterMs, place, detail } = part.ending
      const value = { outcome: OUTCOMES[outcome], reason, retryAfterMs: Math.ceil(retryAfterMs), place, detail: detail ?? '' }
      return { part: { case: 'end', value } }
    }
  }
}

/** @returns the part of an answer that a message holds */
export function fromChunk (chunk: pb.Chunk): Part | undefined {
  const { part } = chunk
  switch (part.case) {
    case 'begun': return { part: 'begun', responseId: part.value.responseId }
    case 'events': return { part: 'events', data: Buffer.from(part.value.data), last: part.value.last }
    case 'end': return { part: 'end', ending: fromEnd(part.value) }
    default: return undefined
  }
}

function fromEnd (end: pb.End): Ending {
  const how: Ending = {
    outcome: keyOf<Outcome>(OUTCOMES, end.outcome, Outcome.unknown),
    reason: end.reason,
    retryAfterMs: end.retryAfterMs
  }
  return {
    ...how,
    ...(end.place === undefined ? {} : { place: fromPlace(end.place) }),
    ...(end.detail === '' ? {} : { detail: end.detail })
  }
}

function fromPlace (place: pb.Place): Place {
  return { server: place.server, responseId: place.responseId, attempt: place.attempt }
}

/** @returns the message for a record */
export function toRecord (record: KeyRecord): MessageInitShape<typeof pb.KeyRecordSchema> {
  return { ...record, withdrawn: [...record.withdrawn] }
}

/** @returns the record that a message holds */
export function fromRecord (message: pb.KeyRecord): KeyRecord {
  const { key, fingerprint, opened, barred, closed, withdrawn, at } = message
  const place = message.place === undefined ? undefined : fromPlace(message.place)
  return { key, fingerprint, opened, barred, closed, place, withdrawn, at }
}

/** @returns the message for a step */
export function toStep (step: Step, memberRevision: number): MessageInitShape<typeof pb.StepRequestSchema> {
  const { key, fingerprint } = step
  const place = 'place' in step ? step.place : undefined
  const arrived = 'arrived' in step ? step.arrived : 0
  return { kind: STEPS[step.step], key, fingerprint, place, memberRevision, arrived }
}

/** @returns the step that a message holds, or undefined if it holds none */
export function fromStep (message: pb.StepRequest): Step | undefined {
  const { key, fingerprint, kind, place, arrived } = message
  const step = keyOf<Stepped>(STEPS, kind, 'open')
  if (step === 'open') return { step, key, fingerprint, arrived }
  if (step === 'bar') return { step, key, fingerprint }
  return place === undefined ? undefined : { step, key, fingerprint, place: fromPlace(place) }
}

/** @returns the message for a ruling */
export function toRuling (answer: Answer): MessageInitShape<typeof pb.StepResponseSchema> {
  const attempt = 'record' in answer ? answer.record.opened : 0
  const closed = 'record' in answer ? answer.record.closed : 0
  const place = answer.ruling === 'dispatched' ? answer.place : undefined
  return { ruling: RULINGS[answer.ruling], attempt, place, closed }
}

/**
 * @param message - the home's answer
 * @param step - the step that was asked
 * @returns the ruling that a message holds
 */
export function fromRuling (message: pb.StepResponse, step: Step): Answer {
  const ruling = keyOf<Ruled>(RULINGS, message.ruling, 'unavailable')
  const place = message.place === undefined ? undefined : fromPlace(message.place)
  const record: KeyRecord = {
    key: step.key,
    fingerprint: step.fingerprint,
    opened: message.attempt,
    barred: 0,
    closed: message.closed,
    place,
    withdrawn: [],
    at: 0
  }
  if (ruling === 'lost') return { ruling }
  if (ruling === 'unavailable') return { ruling, reason: 'the home can not rule now' }
  if (ruling !== 'dispatched') return { ruling, record }
  return place === undefined ? { ruling: 'unavailable', reason: 'no place came' } : { ruling, record, place }
}
