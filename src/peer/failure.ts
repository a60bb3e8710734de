import { Code, ConnectError } from '@connectrpc/connect'
import { Failure } from '../base/index.js'

/**
 * Why a call to another host failed:
 * - `unreachable`: no reply; the call may have taken effect.
 * - `refused`: the other host replied that it rejects the call.
 */
export type PeerFailureCode = 'unreachable' | 'refused'

/** A failed call to another host. */
export class PeerFailure extends Failure<PeerFailureCode> {}

const REFUSAL_CODES: ReadonlySet<Code> = new Set([
  Code.FailedPrecondition, Code.InvalidArgument, Code.NotFound, Code.PermissionDenied, Code.Unauthenticated
])

/**
 * Converts an error thrown by a call to a {@link PeerFailure}.
 *
 * @param member - the id of the member that was called
 * @param thrown - the value that the call threw
 * @returns the failure, with the error as its cause
 */
export function toPeerFailure (member: string, thrown: unknown): PeerFailure {
  const cause = ConnectError.from(thrown)
  const code = REFUSAL_CODES.has(cause.code) ? 'refused' : 'unreachable'
  return new PeerFailure('PeerFailure', { code, cause }, `calling ${member}: ${cause.message}`)
}
