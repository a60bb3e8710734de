import type { BackendServer } from '../fleet/index.js'
import type { CallerRequest } from './callerrequest.js'
import type { OutgoingRequest } from './exchange.js'
import type { HeaderNames } from './headernames.js'
import { endToEndHeaders } from './headers.js'

/**
 * Builds the request that is sent to a server.
 *
 * @param names - names of the headers that the scheduler sets
 * @param request - the caller's request
 * @param server - the server
 * @param lastEventId - id of the last event that was forwarded or that the caller already had, if any
 * @param now - monotonic time, in milliseconds
 * @returns the request
 */
export function buildOutgoingRequest (
  names: HeaderNames, request: CallerRequest, server: BackendServer, lastEventId: number | undefined, now: number
): OutgoingRequest {
  const { method, target, body, organisation, deadlineAt, headers } = request
  const dropped = new Set(['content-length', 'expect', names.key, names.deadline, names.organisation, names.serverId,
    ...names.reserved])
  if (lastEventId !== undefined) dropped.add(names.lastEventId)
  const remainingMs = Math.max(1, Math.floor(deadlineAt - now))
  const outgoing = [...endToEndHeaders(headers, dropped), names.deadline, String(remainingMs),
    names.serverId, server.id]
  if (organisation !== undefined) outgoing.push(names.organisation, organisation.name)
  if (lastEventId !== undefined) outgoing.push(names.lastEventId, String(lastEventId))
  return { method, target, headers: outgoing, body: body.length > 0 ? body : null, remainingMs }
}
