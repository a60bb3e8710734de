/** A configuration like that of the site qfcsha-forms, in the form of the users' pages. */
const HOST = 'ficu95.example'

const route = (name, prefix, kind, service, fields) => ({
  name,
  host: HOST,
  prefix,
  kind,
  service,
  priority: 1,
  timeout_ms: 12000,
  target_latency_ms: 800,
  max_attempts: 1,
  ...fields
})

export const CONFIG = {
  version: 1,
  routes: [
    route('affidavit-draft', '/affidavit/', 'streaming', 'drafting-models', { resumable: true, max_attempts: 2, gap_target_ms: 400 }),
    route('clause-check', '/clause/', 'streaming', 'drafting-models', { gap_target_ms: 400 }),
    route('lodge-submit', '/lodge/', 'unsafe', 'registry-link', { timeout_ms: 4000, target_latency_ms: 300 }),
    route('case-lookup', '/case/', 'safe', 'registry-link', { timeout_ms: 4000, target_latency_ms: 300, max_attempts: 2 })
  ],
  services: [{ name: 'drafting-models', max_connections: 360 }, { name: 'registry-link', max_connections: 96 }],
  tenants: [{ name: 'harbour', api_keys: ['k-harbour'] }],
  limits: { max_header_bytes: 16384, max_body_bytes: 4194304, header_timeout_ms: 3000, idle_timeout_ms: 5000 }
}

/** A request as requesters send it. */
export function requestText (attempt, path, { method = 'POST', body = 'text', deadlineMs = 12000, headers = [] } = {}) {
  const length = body === '' ? [] : [`Content-Length: ${Buffer.byteLength(body)}`]
  return [`${method} ${path} HTTP/1.1`, `Host: ${HOST}`, `Attempt-Id: ${attempt}`, `Deadline-Ms: ${deadlineMs}`,
    'Key: k-harbour', ...length, ...headers, '', body].join('\r\n')
}
