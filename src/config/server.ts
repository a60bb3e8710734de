import { z } from 'zod'

/** The kinds of backend server. */
export const ServerKind = {
  /** An inference engine, which runs models. */
  engine: 'engine',
  /** A worker of an ordinary HTTP service. */
  service: 'service'
} as const

/** One of the values of {@link ServerKind}. */
export type ServerKind = typeof ServerKind[keyof typeof ServerKind]

export const serverSchema = z.strictObject({
  kind: z.enum([ServerKind.engine, ServerKind.service]),
  /** Base URL: scheme, IP address and port. */
  address: z.string().regex(/^https?:\/\/(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-f:]+\]):\d+$/,
    'expected http://IP-NUMBER:PORT'),
  data_centre: z.string().min(1),
  /** Names of the models that an engine serves; unused for services. */
  models: z.array(z.string().min(1)).default([]),
  /** Name of the service that the server belongs to; required if kind is "service". */
  service: z.string().min(1).optional(),
  /** Whether the server rejects requests that carry an outdated fencing token. */
  checks_fencing: z.boolean().default(false),
  /** A draining server gets no new requests. */
  draining: z.boolean().default(false)
}).refine(server => server.kind === ServerKind.engine || server.service !== undefined,
  'a server of kind "service" must name its service')

/** A backend server: an inference engine, or a worker of a service. */
export interface BackendServer {
  readonly name: string
  readonly kind: ServerKind
  readonly address: string
  readonly dataCentre: string
  readonly models: readonly string[]
  readonly service: string | undefined
  readonly checksFencing: boolean
  readonly draining: boolean
}

/**
 * Converts an entry of the configuration document.
 *
 * @param name - the server's name
 * @param definition - its validated definition in the document
 * @returns the server
 */
export function toServer (name: string, definition: z.output<typeof serverSchema>): BackendServer {
  return {
    name,
    kind: definition.kind,
    address: definition.address,
    dataCentre: definition.data_centre,
    models: definition.models,
    service: definition.service,
    checksFencing: definition.checks_fencing,
    draining: definition.draining
  }
}
