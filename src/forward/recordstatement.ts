import type { JobHandle } from '../dispatch/index.js'
import type { BackendServer } from '../fleet/index.js'
import type { ForwardContext } from './context.js'
import type { ServerStatement } from './serverstatement.js'

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
  const { requestsPerS, isLeaving, pauseMs } = statement
  job.reportRequestLimit(server, requestsPerS)
  if (isLeaving && context.fleet.statements.recordLeaving(server)) {
    context.log.info({ event: 'server-leaving', server: server.id, source: 'response' }, 'server-leaving')
    job.reportLeaving(server)
  }
  if (pauseMs === undefined || !context.fleet.statements.recordPause(server, pauseMs, context.clock.now())) return
  context.log.info({ event: 'server-paused', server: server.id, pauseMs }, 'server-paused')
}
