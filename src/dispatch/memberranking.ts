import { Ranking } from '../base/index.js'
import type { Member } from './member.js'

/** Key under which the members are ranked; all hosts must use the same one to agree on the order. */
const RANKING_KEY = 'scheduler'

/**
 * @param members - the members; of several of one host, the last counts
 * @returns the members in the order in which their schedulers are to be selected: by processor cores, then by hash
 */
export function rankMembers (members: readonly Member[]): Member[] {
  const byHost = new Map(members.map(member => [member.host, member]))
  return new Ranking(byHost.keys()).top(RANKING_KEY, byHost.size).map(host => byHost.get(host)!)
    .sort((a, b) => b.cores - a.cores)
}
