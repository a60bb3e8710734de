import type { Ending, Part } from '../owner/index.js'
import { Outcome } from '../owner/index.js'
import { type Problem, problemEvent } from './problem.js'

/** An answer from its first events on. */
export interface Started {
  /** The first part that holds events, or the end if none does. */
  readonly first: Part
  readonly rest: AsyncGenerator<Part>
}

/**
 * Waits until an answer has events or has ended.
 *
 * @param parts - the answer
 * @returns the first such part and what follows
 */
export async function start (parts: AsyncGenerator<Part>): Promise<Started> {
  for (;;) {
    const { value, done } = await parts.next()
    if (done === true) throw new Error('an answer must close with an end')
    if (value.part !== 'begun') return { first: value, rest: parts }
  }
}

/**
 * Turns an answer into the bytes of an event stream. An answer that is not
 * whole closes with an error event.
 *
 * @param started - the answer
 * @param toProblem - says what an ending means to the caller
 * @param onEnd - called once with the ending, or with undefined if the caller went away
 * @returns the bytes
 */
export function toEventStream (
  started: Started, toProblem: (how: Ending) => Problem, onEnd: (how: Ending | undefined) => void
): ReadableStream<Uint8Array> {
  let next: Part | undefined = started.first
  let last = -1
  return new ReadableStream<Uint8Array>({
    async pull (controller) {
      const part: Part | undefined = next ?? (await started.rest.next()).value
      next = undefined
      if (part?.part === 'events') {
        last = part.last
        controller.enqueue(part.data)
      } else if (part?.part === 'end') {
        if (part.ending.outcome !== Outcome.answered) {
          controller.enqueue(Buffer.from(problemEvent(toProblem(part.ending), last + 1)))
        }
        onEnd(part.ending)
        controller.close()
      }
    },
    async cancel () {
      onEnd(undefined)
      await started.rest.return(undefined)
    }
  }, { highWaterMark: 0 })
}

/** A whole answer, or how it ended instead. */
export interface Gathered {
  readonly events: Buffer
  readonly ending: Ending
}

/**
 * Gathers an answer to its end.
 *
 * @param started - the answer
 * @returns its events and its ending
 */
export async function gather (started: Started): Promise<Gathered> {
  const events: Buffer[] = []
  for (let part: Part = started.first; ;) {
    if (part.part === 'end') return { events: Buffer.concat(events), ending: part.ending }
    if (part.part === 'events') events.push(part.data)
    const { value, done } = await started.rest.next()
    if (done === true) throw new Error('an answer must close with an end')
    part = value
  }
}

/**
 * Takes the response object out of an answer's last event.
 *
 * @param events - all events of a whole answer
 * @returns the response as JSON
 */
export function responseOf (events: Buffer): string {
  const text = events.toString('utf8')
  const at = text.lastIndexOf('\ndata:')
  const line = text.slice(at + 6, text.indexOf('\n', at + 6))
  const payload = JSON.parse(line) as { response: unknown }
  return JSON.stringify(payload.response)
}
