import { z } from 'zod'
import { duration } from './duration.js'

const callSchema = z.strictObject({
  method: z.enum(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE']),
  /** A path; a segment of "*" stands for any one segment. */
  path: z.string().startsWith('/')
})

export const serviceSchema = z.strictObject({
  /** How long one call may take. */
  timeout: duration,
  /** Calls that may be repeated. All others are executed at most once. */
  repeatable: z.array(callSchema).default([])
})

/** A call of a plain service. */
export interface Call {
  readonly method: string
  readonly path: string
}

/** A plain service, answered by backend servers that name it. */
export interface Service {
  readonly name: string
  readonly timeoutMs: number
  readonly repeatable: readonly Call[]
}

/**
 * @param name - the service's name
 * @param stated - what the document states of it
 * @returns the service
 */
export function toService (name: string, stated: z.output<typeof serviceSchema>): Service {
  return { name, timeoutMs: stated.timeout, repeatable: stated.repeatable }
}

function covers (pattern: string, path: string): boolean {
  const wanted = pattern.split('/')
  const given = path.split('/')
  return wanted.length === given.length && wanted.every((part, i) => part === '*' || part === given[i])
}

/**
 * Tells whether a call may be repeated. A call that no operator named may not.
 *
 * @param service - the service that is called
 * @param call - the method and the path below the service
 * @returns whether executing it twice does no harm
 */
export function isRepeatable (service: Service, call: Call): boolean {
  return service.repeatable.some(known => known.method === call.method && covers(known.path, call.path))
}
