import type { Configuration } from '../config/index.js'
import type { Member, MembershipView } from '../member/index.js'
import type { Peers } from '../peer/index.js'

/** The state of one host, from which its state dump is built. */
export interface HostState {
  readonly member: Member
  readonly isReady: boolean
  readonly isIsolated: boolean
  readonly view: MembershipView
  readonly configuration: Configuration
  /** Number of requests in progress. */
  readonly requests: number
  /** Number of idempotency records stored. */
  readonly records: number
  readonly answers: { readonly count: number, readonly bytes: number }
  readonly ownedServers: readonly object[]
  readonly metrics: ReadonlyMap<string, number>
}

/**
 * Builds the state dump of a host.
 *
 * @param state - the host's current state
 * @returns the dump, ready to be serialised as JSON
 */
export function dump (state: HostState): object {
  const { view, configuration } = state
  return {
    member: state.member.id,
    host: state.member.host,
    dataCentre: state.member.dataCentre,
    ready: state.isReady,
    isolated: state.isIsolated,
    revisions: { members: view.revision, configuration: configuration.revision },
    members: [...view.members.values()],
    requests: state.requests,
    records: state.records,
    answers: state.answers,
    owned: state.ownedServers,
    metrics: Object.fromEntries(state.metrics),
    memory: process.memoryUsage()
  }
}

/**
 * Collects the state dumps of all hosts.
 *
 * @param view - the current membership view
 * @param self - this member's id
 * @param peers - connections to the other hosts
 * @param ownDump - this host's dump
 * @returns one dump per host; an unreachable host has the error in `unreachable` instead
 */
export async function dumpAll (view: MembershipView, self: string, peers: Peers, ownDump: object): Promise<object[]> {
  return await Promise.all([...view.members.values()].map(async member => {
    if (member.id === self) return ownDump
    const reply = await peers.call(member, async (client, options) => await client.dump({}, options))
    if (reply.isErr()) return { member: member.id, host: member.host, unreachable: reply.error.message }
    return JSON.parse(reply.value.json) as object
  }))
}
