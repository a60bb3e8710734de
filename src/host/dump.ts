import type { Configuration } from '../config/index.js'
import type { Member, View } from '../member/index.js'
import type { Peers } from '../peer/index.js'

/** What a state dump is made from. */
export interface Facts {
  readonly member: Member
  readonly isReady: boolean
  readonly isIsolated: boolean
  readonly view: View
  readonly configuration: Configuration
  /** Requests in progress. */
  readonly requests: number
  /** Records of keys held. */
  readonly records: number
  readonly answers: { readonly count: number, readonly bytes: number }
  readonly owner: readonly object[]
  readonly metrics: ReadonlyMap<string, number>
}

/**
 * @param facts - the host's present state
 * @returns the state as plain data
 */
export function dump (facts: Facts): object {
  const { view, configuration } = facts
  return {
    member: facts.member.id,
    host: facts.member.host,
    dataCentre: facts.member.dataCentre,
    ready: facts.isReady,
    isolated: facts.isIsolated,
    revisions: { members: view.revision, configuration: configuration.revision },
    members: [...view.members.values()],
    requests: facts.requests,
    records: facts.records,
    answers: facts.answers,
    owned: facts.owner,
    metrics: Object.fromEntries(facts.metrics),
    memory: process.memoryUsage()
  }
}

/**
 * Gathers the states of all hosts.
 *
 * @param view - the view in force
 * @param self - this member's id
 * @param peers - connections to the others
 * @param own - this host's state
 * @returns one state a host; a host out of reach is told as such
 */
export async function dumpAll (view: View, self: string, peers: Peers, own: object): Promise<object[]> {
  return await Promise.all([...view.members.values()].map(async member => {
    if (member.id === self) return own
    const reply = await peers.call(member, async (client, options) => await client.dump({}, options))
    if (reply.isErr()) return { member: member.id, host: member.host, unreachable: reply.error.message }
    return JSON.parse(reply.value.json) as object
  }))
}
