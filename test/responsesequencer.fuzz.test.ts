import { describe, it } from 'node:test'
import { expect } from 'earl'
import fc from 'fast-check'
import { Guard, readEvent, Splitter, type StreamEvent } from '../src/engine/index.js'
import { runs } from './runs.js'

const ID = 'resp_1'
const LENGTH = 20

function event (sequence: number, id: string = ID): Buffer {
  const isLast = sequence === LENGTH - 1
  const type = isLast ? 'response.completed' : sequence === 0 ? 'response.created' : 'response.output_text.delta'
  const more = sequence === 0 || isLast ? { response: { id } } : { item_id: `msg_${id}`, delta: String(sequence) }
  return Buffer.from(`event: ${type}\ndata: ${JSON.stringify({ type, sequence_number: sequence, ...more })}\n\n`)
}

function pass (guard: Guard, events: readonly Buffer[]): StreamEvent[] {
  return events.flatMap(bytes => {
    const verdict = guard.push(readEvent(bytes)!)
    return verdict.verdict === 'pass' ? [...verdict.events] : []
  })
}

const whole = Array.from({ length: LENGTH }, (_, i) => i)

describe('a guard', () => {
  it('lets each event through once and in order, whatever is doubled or swapped', () => {
    const extra = fc.array(fc.nat({ max: LENGTH - 1 }), { maxLength: 15 })
    fc.assert(fc.property(extra, fc.nat({ max: 1_000_000 }), (doubles, salt) => {
      const order = [...whole, ...doubles].map((sequence, i) => ({ sequence, at: (sequence * 3 + (i * salt) % 17) }))
      const sent = order.sort((a, b) => a.at - b.at).map(each => event(each.sequence))
      expect(pass(new Guard(ID, -1), sent).map(each => each.sequence)).toEqual(whole)
    }), runs(200))
  })

  it('goes on after a break without a gap or a double', () => {
    fc.assert(fc.property(fc.nat({ max: LENGTH - 2 }), fc.nat({ max: LENGTH }), (broken, from) => {
      const guard = new Guard(ID, -1)
      const first = pass(guard, whole.slice(0, broken).map(sequence => event(sequence)))
      guard.rewind()
      const rest = pass(guard, whole.slice(Math.min(from, broken)).map(sequence => event(sequence)))
      expect([...first, ...rest].map(each => each.sequence)).toEqual(whole)
    }), runs(200))
  })

  it('catches events of another response', () => {
    expect(new Guard(ID, -1).push(readEvent(event(0, 'resp_2'))!).verdict).toEqual('foreign')
  })

  it('cuts events out of bytes wherever these are split', () => {
    const bytes = Buffer.concat(whole.map(sequence => event(sequence)))
    fc.assert(fc.property(fc.array(fc.nat({ max: bytes.length }), { maxLength: 20 }), cuts => {
      const at = [0, ...cuts.sort((a, b) => a - b), bytes.length]
      const splitter = new Splitter(1 << 20)
      const events = at.slice(1).flatMap((end, i) => splitter.push(bytes.subarray(at[i], end))!)
      expect(events.map(each => readEvent(each)!.sequence)).toEqual(whole)
    }), runs(100))
  })
})
