import { Code, ConnectError } from '@connectrpc/connect'
import { Failure } from '../base/index.js'

/**
 * What a call to another host can come to:
 * - `unreachable`: no answer; the call may have taken effect.
 * - `refused`: the other host answered that it will not do it.
 */
export type PeerCode = 'unreachable' | 'refused'

/** A failed call to another host. */
export class PeerFailure extends Failure<PeerCode> {}

const REFUSALS: ReadonlySet<Code> = new Set([
  Code.FailedPrecondition, Code.InvalidArgument, Code.NotFound, Code.PermissionDenied, Code.Unauthenticated
])

/**
 * Turns what a call threw into this layer's failure.
 *
 * @param member - the member that was called
 * @param thrown - what was thrown
 * @returns the failure
 */
export function toPeerFailure (member: string, thrown: unknown): PeerFailure {
  const cause = ConnectError.from(thrown)
  const code = REFUSALS.has(cause.code) ? 'refused' : 'unreachable'
  return new PeerFailure('PeerFailure', { code, cause }, `calling ${member}: ${cause.message}`)
}
