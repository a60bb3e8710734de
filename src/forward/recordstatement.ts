import type Logger from 'bunyan'
import type { JobHandle } from '../dispatch/index.js'
import type { BackendServer, Fleet } from '../fleet/index.js'
import type { ForwardContext } from './context.js'
import type { ServerStatement } from './serverstatement.js'

/** What {@link recordForHost} depends on. */
export interface StatementContext {
  readonly fleet: Fleet
  readonly log: Logger
}

/**
 * Records, for the host that sent the request, what a server says of itself in a response.
 *
 * @param context - what it depends on
 * @param server - the server
 * @param statement - what it says
 * @param now - monotonic time, in milliseconds
 * @returns whether this host did not know that the server leaves
 */
export function recordForHost (
  { fleet, log }: StatementContext, server: BackendServer, { isLeaving, pauseMs }: ServerStatement, now: number
): boolean {
  const isNewlyLeaving = isLeaving && fleet.statements.recordLeaving(server)
  if (isNewlyLeaving) log.info({ event: 'server-leaving', server: server.id, source: 'response' }, 'server-leaving')
  if (pauseMs !== undefined && fleet.statements.recordPause(server, pauseMs, now)) {
    log.info({ event: 'server-paused', server: server.id, pauseMs }, 'server-paused')
  }
  return isNewlyLeaving
}

/**
 * Records what a server says of itself in a response, for this host and for the scheduler.
 *
 * @param context - what the handling of requests depends on
 * @param job - reports to the scheduler
 * @param server - the server
 * @param statement - what it says
 */
export function recordStatement (
  context: ForwardContext, job: JobHandle, server: BackendServer, statement: ServerStatement
): void {
  job.reportRequestLimit(server, statement.requestsPerS)
  job.reportBrittleness(server, statement.rejectionsPerS)
  if (recordForHost(context, server, statement, context.clock.now())) job.reportLeaving(server)
}
