import type { ServerResponse } from 'node:http'
import { type Ending, ending, Outcome, type Part } from '../owner/index.js'
import { type Problem, problemEvent } from './problem.js'

/** An answer from its first events on. */
export interface Started {
  /** The first part that holds events, or the end if none does. */
  readonly first: Part
  readonly rest: AsyncGenerator<Part>
}

/** The end of an answer whose reading stopped because the caller went away. */
const CALLER_GONE: Part = { part: 'end', ending: ending(Outcome.unknown, 'caller-gone') }

/**
 * Waits until an answer has events or has ended.
 *
 * @param parts - the answer
 * @returns the first such part and what follows
 */
export async function start (parts: AsyncGenerator<Part>): Promise<Started> {
  for (;;) {
    const { value, done } = await parts.next()
    if (done === true) return { first: CALLER_GONE, rest: parts }
    if (value.part !== 'begun') return { first: value, rest: parts }
  }
}

/**
 * Tells when a caller goes away before its response is whole.
 *
 * @param outgoing - the response
 * @returns the signal
 */
export function goneSignal (outgoing: ServerResponse): AbortSignal {
  const controller = new AbortController()
  outgoing.on('close', () => {
    if (!outgoing.writableFinished) controller.abort()
  })
  return controller.signal
}

/**
 * Writes an answer as an event stream, at the caller's pace. An answer that is
 * not whole closes with an error event.
 *
 * @param outgoing - the response
 * @param requestId - the request
 * @param started - the answer
 * @param toProblem - says what an ending means to the caller
 * @returns how it ended
 */
export async function writeEvents (
  outgoing: ServerResponse, requestId: string, started: Started, toProblem: (how: Ending) => Problem
): Promise<Ending> {
  outgoing.writeHead(200, { 'content-type': 'text/event-stream', 'x-request-id': requestId })
  let last = -1
  for (let part = started.first; ;) {
    if (part.part === 'end') {
      if (part.ending.outcome !== Outcome.answered) outgoing.write(problemEvent(toProblem(part.ending), last + 1))
      outgoing.end()
      return part.ending
    }
    if (part.part === 'events') {
      last = part.last
      if (!outgoing.write(part.data)) await writable(outgoing)
    }
    const { value, done } = await started.rest.next()
    part = done === true ? CALLER_GONE : value
  }
}

function writable (outgoing: ServerResponse): Promise<void> {
  return new Promise(resolve => {
    if (outgoing.destroyed) {
      resolve()
      return
    }
    const done = (): void => {
      outgoing.off('drain', done)
      outgoing.off('close', done)
      resolve()
    }
    outgoing.on('drain', done)
    outgoing.on('close', done)
  })
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
  for (let part = started.first; ;) {
    if (part.part === 'end') return { events: Buffer.concat(events), ending: part.ending }
    if (part.part === 'events') events.push(part.data)
    const { value, done } = await started.rest.next()
    part = done === true ? CALLER_GONE : value
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
