import { LoadBalancer } from './balancer.js'
import type { Deployment } from './deployment.js'
import {
  type RequestHistory, type RetryPolicy, sendCallWithRetries, sendDraftWithRetries, sendReadWithRetries
} from './history.js'

/** A mixed load: numbers of requests by kind, and how they are sent. */
export interface Load {
  /** Requests to engines. */
  readonly drafts: number
  /** Service calls that are not repeatable. */
  readonly calls: number
  /** Service calls that are repeatable. */
  readonly reads: number
  /** Period over which the requests of each kind are spread evenly, in milliseconds. */
  readonly spreadMs: number
  /** Output tokens of each draft. */
  readonly tokens: number
  readonly organisations: readonly string[]
  readonly className: string
  readonly retryPolicy: RetryPolicy
}

function pause (ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms))
}

/**
 * Sends a mixed load through the load balancer.
 *
 * @param deployment - the deployment that receives it
 * @param load - numbers and properties of the requests
 * @param name - prefix of the nonces, to tell loads on one deployment apart
 * @returns the history of each request
 */
export async function sendLoad (deployment: Deployment, load: Load, name: string): Promise<RequestHistory[]> {
  const balancer = new LoadBalancer(deployment)
  await balancer.start()
  const selectPort = (): number => balancer.nextPort()
  const pickOrganisation = (i: number): string => load.organisations[i % load.organisations.length]!
  const sendSpread = (
    count: number, sendOne: (i: number) => Promise<RequestHistory>
  ): Array<Promise<RequestHistory>> =>
    Array.from({ length: count }, async (_, i) => {
      await pause(i * load.spreadMs / count)
      return await sendOne(i)
    })
  const { className, tokens, retryPolicy } = load
  const histories = await Promise.all([
    ...sendSpread(load.drafts, async i => {
      const nonce = `${name}-draft-${i}`
      const request = { organisation: pickOrganisation(i), className, input: nonce, tokens, nonce, key: `key-${nonce}` }
      return await sendDraftWithRetries(request, selectPort, retryPolicy)
    }),
    ...sendSpread(load.calls, async i =>
      await sendCallWithRetries(pickOrganisation(i), `${name}-call-${i}`, selectPort, retryPolicy)),
    ...sendSpread(load.reads, async i =>
      await sendReadWithRetries(pickOrganisation(i), `${name}-read-${i}`, selectPort, retryPolicy))
  ])
  balancer.stop()
  return histories
}

/**
 * Counts the attempts without an answer by kind of request, outcome and reason.
 *
 * @param histories - the request histories
 * @returns the counts, keyed by a line of text for reports
 */
export function countFailureReasons (histories: readonly RequestHistory[]): Map<string, number> {
  const counts = new Map<string, number>()
  for (const history of histories) {
    for (const { outcome, reason } of history.attempts) {
      if (outcome === 'answered') continue
      const description = `${history.kind} ${outcome} ${reason.slice(0, 120)}`
      counts.set(description, (counts.get(description) ?? 0) + 1)
    }
  }
  return counts
}
