/** A config like that of a small deployment: routes of the kinds that a script uses, two services, no tenants. */
import { LIMITS } from './fleet.mjs'

const KINDS = {
  unsafe: { kind: 'unsafe', service: 'registry-link', timeout_ms: 4000, target_latency_ms: 386, max_attempts: 1 },
  safe: { kind: 'safe', service: 'registry-link', timeout_ms: 4000, target_latency_ms: 386, max_attempts: 2 },
  stream: {
    kind: 'streaming',
    service: 'drafting-models',
    timeout_ms: 12000,
    target_latency_ms: 500,
    gap_target_ms: 250,
    max_attempts: 1,
    resumable: false,
    session_affinity: true
  },
  resumable: {
    kind: 'streaming',
    service: 'drafting-models',
    timeout_ms: 12000,
    target_latency_ms: 600,
    gap_target_ms: 250,
    max_attempts: 2,
    resumable: true,
    session_affinity: true
  }
}

/** @param kinds - names of the routes; the prefix of each is its name */
export function config (kinds, version = 1) {
  return {
    version,
    routes: kinds.map(name => ({
      name: `r-${name}`, host: 'forms.example', prefix: `/${name}/`, priority: 1, public: true, ...KINDS[name]
    })),
    services: [
      { name: 'registry-link', health_check: '/healthz', max_connections: 100, protocol: 'h1', tls: false },
      { name: 'drafting-models', health_check: '/healthz', max_connections: 360, protocol: 'h1', tls: false }
    ],
    limits: LIMITS,
    tenants: []
  }
}
