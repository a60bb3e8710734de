import type { BackendServer, Fleet } from '../fleet/index.js'
import type { EventSequencer } from './eventsequencer.js'
import { isSuccess } from './status.js'

/** Why a response is incomplete though nothing but the end of its connection was to mark its end. */
const NO_BODY = 'the connection ended without a body'

/**
 * Checks a stream that its server has ended.
 *
 * @param sequencer - has received its events
 * @param isCloseDelimited - whether its end was marked only by the end of the connection
 * @returns why it is incomplete, if it is
 */
export function findMissingEvents (sequencer: EventSequencer, isCloseDelimited: boolean): string | undefined {
  if (!sequencer.isAtEventBoundary) return 'the stream ended within an event'
  if (sequencer.hasProgressed) return undefined
  if (isCloseDelimited) return NO_BODY
  // More events are due far more often than only the end was missing.
  return sequencer.isContinued ? 'the rest of the stream has no events' : undefined
}

/**
 * Checks a body, not of a stream, that its server has ended.
 *
 * @param status - the status of the response
 * @param bytes - length of the body, in bytes
 * @param isCloseDelimited - whether its end was marked only by the end of the connection
 * @returns why it is incomplete, if it is
 */
export function findMissingBody (status: number, bytes: number, isCloseDelimited: boolean): string | undefined {
  return isCloseDelimited && bytes === 0 && isSuccess(status) ? NO_BODY : undefined
}

/**
 * Checks a response whose end may have been read long after it arrived, since its caller did not read.
 *
 * @param fleet - the servers
 * @param server - the server that sent it
 * @param isCloseDelimited - whether its end was marked only by the end of the connection
 * @returns why the end of the connection was that of the server's process, if it was
 */
export function findRestart (fleet: Fleet, server: BackendServer, isCloseDelimited: boolean): string | undefined {
  return isCloseDelimited && fleet.isReplaced(server) ? 'the server has started again' : undefined
}
