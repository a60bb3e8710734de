import { z } from 'zod'
import { layOut } from './table.js'

const owned = z.object({
  server: z.string(),
  draining: z.boolean(),
  waiting: z.number(),
  running: z.number(),
  limit: z.number(),
  gapMs: z.number(),
  failures: z.number()
})

const state = z.object({
  host: z.string(),
  member: z.string(),
  dataCentre: z.string().optional(),
  ready: z.boolean().optional(),
  revisions: z.object({ members: z.number(), configuration: z.number() }).optional(),
  requests: z.number().optional(),
  owned: z.array(owned).optional(),
  unreachable: z.string().optional()
})

/** What is shown of the state of one host. */
export type HostState = z.output<typeof state>

/**
 * @param json - the states of all hosts, as the administration API gives them
 * @returns the states, checked
 */
export function readStates (json: unknown): HostState[] {
  return z.array(state).parse(json)
}

/**
 * @param states - the states of all hosts
 * @returns a table of hosts and a table of backend servers
 */
export function showStates (states: readonly HostState[]): string {
  const hosts = states.map(each => [
    each.host,
    each.dataCentre ?? '-',
    each.unreachable !== undefined ? 'unreachable' : each.ready === true ? 'ready' : 'not ready',
    String(each.revisions?.members ?? '-'),
    String(each.revisions?.configuration ?? '-'),
    String(each.requests ?? '-')
  ])
  const servers = states.flatMap(each => (each.owned ?? []).map(server => [
    server.server,
    each.host,
    server.draining ? 'draining' : server.failures > 0 ? 'failing' : 'ok',
    String(server.waiting),
    `${server.running}/${server.limit}`,
    server.gapMs.toFixed(1)
  ])).sort((a, b) => a[0]! < b[0]! ? -1 : 1)
  return [
    layOut(['HOST', 'DATA CENTRE', 'STATE', 'MEMBERS AT', 'CONFIGURATION AT', 'REQUESTS'], hosts),
    '',
    layOut(['BACKEND SERVER', 'OWNER', 'STATE', 'WAITING', 'RUNNING', 'TOKEN GAP MS'], servers)
  ].join('\n')
}
