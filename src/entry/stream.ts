import type { ServerResponse } from 'node:http'
import { Outcome, type RequestResult, requestResult, type ResponsePart } from '../owner/index.js'
import { type Problem, problemEvent } from './problem.js'

/** An answer that has its first events or has ended. */
export interface StartedAnswer {
  /** The first part with events, or the end if there are none. */
  readonly first: ResponsePart
  /** The parts that follow the first one. */
  readonly rest: AsyncGenerator<ResponsePart>
}

/** The end of an answer that is no longer read because the caller disconnected. */
const CALLER_GONE_PART: ResponsePart = { part: 'end', result: requestResult(Outcome.unknown, 'caller-gone') }

/**
 * Waits until an answer has events or has ended.
 *
 * @param parts - the parts of the answer
 * @returns the first such part and the parts that follow it
 */
export async function waitForEvents (parts: AsyncGenerator<ResponsePart>): Promise<StartedAnswer> {
  for (;;) {
    const { value, done } = await parts.next()
    if (done === true) return { first: CALLER_GONE_PART, rest: parts }
    if (value.part !== 'begun') return { first: value, rest: parts }
  }
}

/**
 * Detects that a caller disconnects before its response is complete.
 *
 * @param outgoing - the response to the caller
 * @returns a signal that is aborted when the caller disconnects
 */
export function disconnectSignal (outgoing: ServerResponse): AbortSignal {
  const controller = new AbortController()
  outgoing.on('close', () => {
    if (!outgoing.writableFinished) controller.abort()
  })
  return controller.signal
}

/**
 * Writes an answer as an event stream, with backpressure from the caller. An
 * incomplete answer ends with an error event.
 *
 * @param outgoing - the response to the caller
 * @param requestId - the request id
 * @param started - the answer
 * @param toProblem - converts the result of an incomplete answer into problem details
 * @returns the result of the request
 */
export async function writeEvents (
  outgoing: ServerResponse, requestId: string, started: StartedAnswer, toProblem: (result: RequestResult) => Problem
): Promise<RequestResult> {
  outgoing.writeHead(200, { 'content-type': 'text/event-stream', 'x-request-id': requestId })
  let sequence = -1
  for (let part = started.first; ;) {
    if (part.part === 'end') {
      if (part.result.outcome !== Outcome.answered) outgoing.write(problemEvent(toProblem(part.result), sequence + 1))
      outgoing.end()
      return part.result
    }
    if (part.part === 'events') {
      sequence = part.lastSequenceNumber
      if (!outgoing.write(part.data)) await waitUntilWritable(outgoing)
    }
    const { value, done } = await started.rest.next()
    part = done === true ? CALLER_GONE_PART : value
  }
}

function waitUntilWritable (outgoing: ServerResponse): Promise<void> {
  return new Promise(resolve => {
    if (outgoing.destroyed) {
      resolve()
      return
    }
    const onWritable = (): void => {
      outgoing.off('drain', onWritable)
      outgoing.off('close', onWritable)
      resolve()
    }
    outgoing.on('drain', onWritable)
    outgoing.on('close', onWritable)
  })
}

/** All events of an answer, and the result of its request. */
export interface CollectedAnswer {
  readonly events: Buffer
  readonly result: RequestResult
}

/**
 * Collects the events of an answer until it ends.
 *
 * @param started - the answer
 * @returns the concatenated events and the result
 */
export async function collectAnswer (started: StartedAnswer): Promise<CollectedAnswer> {
  const events: Buffer[] = []
  for (let part = started.first; ;) {
    if (part.part === 'end') return { events: Buffer.concat(events), result: part.result }
    if (part.part === 'events') events.push(part.data)
    const { value, done } = await started.rest.next()
    part = done === true ? CALLER_GONE_PART : value
  }
}

/**
 * Extracts the response object from the last event of an answer.
 *
 * @param events - all events of a complete answer
 * @returns the response object as JSON
 */
export function extractResponse (events: Buffer): string {
  const text = events.toString('utf8')
  const dataStart = text.lastIndexOf('\ndata:')
  const line = text.slice(dataStart + 6, text.indexOf('\n', dataStart + 6))
  const payload = JSON.parse(line) as { response: unknown }
  return JSON.stringify(payload.response)
}
