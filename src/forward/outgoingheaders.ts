import type { BackendServer } from '../fleet/index.js'
import type { CallerRequest } from './callerrequest.js'
import type { HeaderNames } from './headernames.js'
import { endToEndHeaders } from './headers.js'

/**
 * Builds the headers with which a request is sent to a server.
 *
 * @param names - names of the headers that the scheduler sets
 * @param request - the caller's request
 * @param server - the server
 * @param lastEventId - id of the last event that was forwarded or that the caller already had, if any
 * @param now - monotonic time, in milliseconds
 * @returns a flat list of names and values
 */
export function buildOutgoingHeaders (
  names: HeaderNames, request: CallerRequest, server: BackendServer, lastEventId: number | undefined, now: number
): string[] {
  const { organisation, deadlineAt, headers } = request
  const dropped = new Set(['content-length', 'expect', names.key, names.deadline, names.organisation, names.serverId,
    ...names.reserved])
  if (lastEventId !== undefined) dropped.add(names.lastEventId)
  const remainingMs = Math.max(1, Math.floor(deadlineAt - now))
  const outgoing = [...endToEndHeaders(headers, dropped), names.deadline, String(remainingMs),
    names.serverId, server.id]
  if (organisation !== undefined) outgoing.push(names.organisation, organisation.name)
  if (lastEventId !== undefined) outgoing.push(names.lastEventId, String(lastEventId))
  return outgoing
}
