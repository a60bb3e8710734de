import { type Context, Hono } from 'hono'
import type { Result } from 'neverthrow'
import { areSecretsEqual, digest, type Failure } from '../base/index.js'
import { type ChangeStep, type Configuration, parseChangeSteps, Role } from '../config/index.js'
import type { AdminContext } from './context.js'

/** Variables that the authentication middleware sets on each request. */
interface AdminEnv {
  Variables: { operator: string, role: Role }
}

const UNAUTHORIZED = 401
const FORBIDDEN = 403
const BAD_REQUEST = 400
const CONFLICT = 409
const UNAVAILABLE = 503
const BEARER_PREFIX = 'Bearer '
const SETUP_OPERATOR_NAME = 'setup'

const STATUS_BY_CODE: Readonly<Record<string, 409 | 400 | 503>> = {
  conflict: CONFLICT, invalid: BAD_REQUEST, unknown: UNAVAILABLE
}

/** An authenticated sender of a request. */
interface Identity {
  readonly name: string
  readonly role: Role
}

function identify (key: string, configuration: Configuration, setupKey: string): Identity | undefined {
  const keyHash = digest(key)
  for (const operator of configuration.operators.values()) {
    if (operator.keyHashes.includes(keyHash)) return { name: operator.name, role: operator.role }
  }
  // The setup key is accepted only until the first operator is configured.
  const isSetup = configuration.operators.size === 0 && areSecretsEqual(key, setupKey)
  return isSetup ? { name: SETUP_OPERATOR_NAME, role: Role.operator } : undefined
}

function reject (c: Context<AdminEnv>, status: 400 | 401 | 403 | 409 | 503, code: string, detail: string): Response {
  const body = { type: `urn:marigoldvalve:problem:${code}`, title: code, status, detail }
  return c.body(JSON.stringify(body), status, { 'content-type': 'application/problem+json' })
}

/**
 * Creates the routes of the administration API.
 *
 * @param context - the operations of the host
 * @returns the routes, to be mounted at /admin
 */
export function createAdminRoutes (context: AdminContext): Hono<AdminEnv> {
  const app = new Hono<AdminEnv>()
  app.use(async (c, next) => {
    const header = c.req.header('authorization') ?? ''
    const key = header.startsWith(BEARER_PREFIX) ? header.slice(BEARER_PREFIX.length) : ''
    const identity = identify(key, context.configuration(), context.setupKey)
    if (identity === undefined) return reject(c, UNAUTHORIZED, 'unauthenticated', 'the key is missing or unknown')
    if (c.req.method !== 'GET' && identity.role !== Role.operator) {
      return reject(c, FORBIDDEN, 'forbidden', `role "${identity.role}" may not change anything`)
    }
    c.set('operator', identity.name)
    c.set('role', identity.role)
    return await next()
  })
  app.get('/configuration', c => c.json(toJson(context.configuration())))
  app.post('/configuration', async c => await applyDocument(c, context))
  app.get('/history', c => c.json(context.history().map(({ revision, entry }) => ({ revision, ...entry }))))
  app.get('/dump', c => c.json(context.dump()))
  app.get('/dump/all', async c => c.json(await context.dumpAll()))
  app.post('/servers/:name/drain', async c => await drainServer(c, context))
  app.post('/drain', c => {
    context.drain()
    return c.json({ draining: true })
  })
  return app
}

async function applyDocument (c: Context<AdminEnv>, context: AdminContext): Promise<Response> {
  const revision = Number(c.req.query('revision'))
  if (!Number.isInteger(revision)) return reject(c, BAD_REQUEST, 'malformed', 'revision: expected a whole number')
  const file = c.req.query('file') ?? 'document'
  const steps = parseChangeSteps(file, await c.req.text())
  if (steps.isErr()) return reject(c, BAD_REQUEST, 'invalid', steps.error.message)
  return submissionResponse(c, await context.submit(c.get('operator'), steps.value, revision))
}

function submissionResponse (c: Context<AdminEnv>, result: Result<number, Failure>): Response {
  if (result.isOk()) return c.json({ revision: result.value })
  const { code, message } = result.error
  return reject(c, STATUS_BY_CODE[code] ?? UNAVAILABLE, code, message)
}

async function drainServer (c: Context<AdminEnv>, context: AdminContext): Promise<Response> {
  const configuration = context.configuration()
  const name = c.req.param('name') ?? ''
  const server = configuration.servers.get(name)
  if (server === undefined) return reject(c, BAD_REQUEST, 'invalid', `servers: there is no server "${name}"`)
  const steps: ChangeStep[] = [{ step: 'put', section: 'servers', item: { ...server, draining: true } }]
  return submissionResponse(c, await context.submit(c.get('operator'), steps, configuration.revision))
}

function toJson (configuration: Configuration): object {
  const { revision, classes, organisations, operators, servers, services } = configuration
  return {
    revision,
    classes: [...classes.values()],
    organisations: [...organisations.values()],
    operators: [...operators.values()],
    servers: [...servers.values()],
    services: [...services.values()]
  }
}
