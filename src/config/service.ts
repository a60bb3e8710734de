import { z } from 'zod'
import { durationSchema } from './duration.js'

const callSchema = z.strictObject({
  method: z.enum(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE']),
  /** Path below the service. A segment of "*" matches exactly one segment of any value. */
  path: z.string().startsWith('/')
})

export const serviceSchema = z.strictObject({
  /** Time limit of one call. */
  timeout: durationSchema,
  /** Calls that may be retried. All others are executed at most once. */
  repeatable: z.array(callSchema).default([])
})

/** The method and the path of a call to a service. */
export interface ServiceCall {
  readonly method: string
  readonly path: string
}

/** An ordinary HTTP service, handled by the backend servers that name it in their definition. */
export interface Service {
  readonly name: string
  readonly timeoutMs: number
  readonly repeatable: readonly ServiceCall[]
}

/**
 * Converts an entry of the configuration document.
 *
 * @param name - the service's name
 * @param definition - its validated definition in the document
 * @returns the service, with its time limit in milliseconds
 */
export function toService (name: string, definition: z.output<typeof serviceSchema>): Service {
  return { name, timeoutMs: definition.timeout, repeatable: definition.repeatable }
}

function matchesPath (pattern: string, path: string): boolean {
  const patternSegments = pattern.split('/')
  const pathSegments = path.split('/')
  return patternSegments.length === pathSegments.length &&
    patternSegments.every((segment, i) => segment === '*' || segment === pathSegments[i])
}

/**
 * Tells whether a call may be retried. Only calls that the configuration lists as repeatable may be.
 *
 * @param service - the service that is called
 * @param call - the method and the path below the service, without wildcards
 * @returns whether the call may be executed more than once
 */
export function isRepeatable (service: Service, call: ServiceCall): boolean {
  return service.repeatable.some(repeatable =>
    repeatable.method === call.method && matchesPath(repeatable.path, call.path))
}
