import type { JobHandle } from '../dispatch/index.js'
import { Outcome } from '../schedule/index.js'
import type { Delivery } from './delivery.js'

/**
 * Reports how a delivery without a usable response ended. A failure of this host's path says nothing of the server.
 *
 * @param job - reports to the scheduler
 * @param delivery - the delivery
 * @param outcome - its outcome
 */
export function reportFault (job: JobHandle | undefined, delivery: Delivery, outcome: Outcome): void {
  // The server's own response shows that the path works.
  if (outcome === Outcome.failed) job?.reportEnded(outcome)
  else void delivery.exchange.verifyPath().then(isSound => job?.reportEnded(isSound ? outcome : Outcome.cancelled))
}
