import { Balancer } from './balancer.js'
import type { Deployment } from './deployment.js'
import { type Patience, type Story, tellCall, tellDraft, tellRead } from './story.js'

/** How much is sent, and how. */
export interface Load {
  readonly drafts: number
  readonly calls: number
  readonly reads: number
  /** Time over which it is spread, in milliseconds. */
  readonly spreadMs: number
  readonly tokens: number
  readonly organisations: readonly string[]
  readonly className: string
  readonly patience: Patience
}

function pause (ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms))
}

/**
 * Sends a mixed load by way of the balancer.
 *
 * @param deployment - where to
 * @param load - how much
 * @param name - begins the names of the requests
 * @returns what became of each request
 */
export async function sendLoad (deployment: Deployment, load: Load, name: string): Promise<Story[]> {
  const balancer = new Balancer(deployment)
  await balancer.start()
  const route = (): number => balancer.next()
  const organisation = (i: number): string => load.organisations[i % load.organisations.length]!
  const each = (count: number, tell: (i: number) => Promise<Story>): Array<Promise<Story>> =>
    Array.from({ length: count }, async (_, i) => {
      await pause(i * load.spreadMs / count)
      return await tell(i)
    })
  const { className, tokens, patience } = load
  const stories = await Promise.all([
    ...each(load.drafts, async i => {
      const nonce = `${name}-draft-${i}`
      const ask = { organisation: organisation(i), className, input: nonce, tokens, nonce, key: `key-${nonce}` }
      return await tellDraft(ask, route, patience)
    }),
    ...each(load.calls, async i => await tellCall(organisation(i), `${name}-call-${i}`, route, patience)),
    ...each(load.reads, async i => await tellRead(organisation(i), `${name}-read-${i}`, route, patience))
  ])
  balancer.stop()
  return stories
}

/**
 * Says why attempts had no answer.
 *
 * @param stories - the requests
 * @returns how many attempts had none, for each reason
 */
export function reasonsOf (stories: readonly Story[]): Map<string, number> {
  const counts = new Map<string, number>()
  for (const story of stories) {
    for (const { outcome, reason } of story.tries) {
      if (outcome === 'answered') continue
      const name = `${story.kind} ${outcome} ${reason.slice(0, 120)}`
      counts.set(name, (counts.get(name) ?? 0) + 1)
    }
  }
  return counts
}
