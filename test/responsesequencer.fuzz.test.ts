import { describe, it } from 'node:test'
import { expect } from 'earl'
import fc from 'fast-check'
import { EventSplitter, parseEvent, ResponseSequencer, type StreamEvent } from '../src/engine/index.js'
import { fuzzParameters } from './fuzzparameters.js'

const RESPONSE_ID = 'resp_1'
const EVENT_COUNT = 20

/** Encodes one event of a response of EVENT_COUNT events. */
function encodeEvent (sequence: number, id: string = RESPONSE_ID): Buffer {
  const isLast = sequence === EVENT_COUNT - 1
  const type = isLast ? 'response.completed' : sequence === 0 ? 'response.created' : 'response.output_text.delta'
  const fields = sequence === 0 || isLast ? { response: { id } } : { item_id: `msg_${id}`, delta: String(sequence) }
  return Buffer.from(`event: ${type}\ndata: ${JSON.stringify({ type, sequence_number: sequence, ...fields })}\n\n`)
}

/** Pushes encoded events and returns those that are passed on. */
function pushAll (sequencer: ResponseSequencer, events: readonly Buffer[]): StreamEvent[] {
  return events.flatMap(bytes => {
    const result = sequencer.push(parseEvent(bytes)!)
    return result.kind === 'pass' ? [...result.events] : []
  })
}

const allSequences = Array.from({ length: EVENT_COUNT }, (_, i) => i)

describe('a response sequencer', () => {
  it('passes on each event once and in order when events are duplicated and reordered', () => {
    const duplicatesArbitrary = fc.array(fc.nat({ max: EVENT_COUNT - 1 }), { maxLength: 15 })
    fc.assert(fc.property(duplicatesArbitrary, fc.nat({ max: 1_000_000 }), (duplicates, salt) => {
      const arrivals = [...allSequences, ...duplicates]
        .map((sequence, i) => ({ sequence, at: (sequence * 3 + (i * salt) % 17) }))
      const received = arrivals.sort((a, b) => a.at - b.at).map(each => encodeEvent(each.sequence))
      expect(pushAll(new ResponseSequencer(RESPONSE_ID, -1), received).map(each => each.sequence)).toEqual(allSequences)
    }), fuzzParameters(200))
  })

  it('continues a stream after a broken connection without gaps or duplicates', () => {
    fc.assert(fc.property(fc.nat({ max: EVENT_COUNT - 2 }), fc.nat({ max: EVENT_COUNT }), (received, resumeFrom) => {
      const sequencer = new ResponseSequencer(RESPONSE_ID, -1)
      const first = pushAll(sequencer, allSequences.slice(0, received).map(sequence => encodeEvent(sequence)))
      sequencer.discardBuffered()
      const rest = pushAll(
        sequencer, allSequences.slice(Math.min(resumeFrom, received)).map(sequence => encodeEvent(sequence)))
      expect([...first, ...rest].map(each => each.sequence)).toEqual(allSequences)
    }), fuzzParameters(200))
  })

  it('detects events of another response', () => {
    expect(new ResponseSequencer(RESPONSE_ID, -1).push(parseEvent(encodeEvent(0, 'resp_2'))!).kind).toEqual('foreign')
  })

  it('parses the same events at whatever positions the byte stream is split', () => {
    const bytes = Buffer.concat(allSequences.map(sequence => encodeEvent(sequence)))
    fc.assert(fc.property(fc.array(fc.nat({ max: bytes.length }), { maxLength: 20 }), splitPositions => {
      const boundaries = [0, ...splitPositions.sort((a, b) => a - b), bytes.length]
      const splitter = new EventSplitter(1 << 20)
      const events = boundaries.slice(1).flatMap((end, i) => splitter.push(bytes.subarray(boundaries[i], end))!)
      expect(events.map(each => parseEvent(each)!.sequence)).toEqual(allSequences)
    }), fuzzParameters(100))
  })
})
