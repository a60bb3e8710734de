import { z } from 'zod'
import { formatTable } from './table.js'

const ownedServerSchema = z.object({
  server: z.string(),
  draining: z.boolean(),
  waiting: z.number(),
  running: z.number(),
  limit: z.number(),
  gapMs: z.number(),
  failures: z.number()
})

const hostStateSchema = z.object({
  host: z.string(),
  member: z.string(),
  dataCentre: z.string().optional(),
  ready: z.boolean().optional(),
  revisions: z.object({ members: z.number(), configuration: z.number() }).optional(),
  requests: z.number().optional(),
  owned: z.array(ownedServerSchema).optional(),
  unreachable: z.string().optional()
})

/** The part of a host's dump that `status` shows. */
export type HostState = z.output<typeof hostStateSchema>

/**
 * Validates the states of all hosts.
 *
 * @param json - the response of the administration API
 * @returns the validated states
 * @throws ZodError if the response has another shape
 */
export function parseStates (json: unknown): HostState[] {
  return z.array(hostStateSchema).parse(json)
}

/**
 * Formats the states of all hosts as text.
 *
 * @param states - the states of all hosts
 * @returns a table of hosts and a table of backend servers
 */
export function formatStates (states: readonly HostState[]): string {
  const hosts = states.map(state => [
    state.host,
    state.dataCentre ?? '-',
    state.unreachable !== undefined ? 'unreachable' : state.ready === true ? 'ready' : 'not ready',
    String(state.revisions?.members ?? '-'),
    String(state.revisions?.configuration ?? '-'),
    String(state.requests ?? '-')
  ])
  const servers = states.flatMap(state => (state.owned ?? []).map(server => [
    server.server,
    state.host,
    server.draining ? 'draining' : server.failures > 0 ? 'failing' : 'ok',
    String(server.waiting),
    `${server.running}/${server.limit}`,
    server.gapMs.toFixed(1)
  ])).sort((a, b) => a[0]! < b[0]! ? -1 : 1)
  return [
    formatTable(['HOST', 'DATA CENTRE', 'STATE', 'MEMBERS AT', 'CONFIGURATION AT', 'REQUESTS'], hosts),
    '',
    formatTable(['BACKEND SERVER', 'OWNER', 'STATE', 'WAITING', 'RUNNING', 'TOKEN GAP MS'], servers)
  ].join('\n')
}
