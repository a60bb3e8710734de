import { z } from 'zod'

/** What a backend server is. */
export const Kind = {
  /** Runs models. */
  engine: 'engine',
  /** Answers plain calls. */
  service: 'service'
} as const

/** One of the values of {@link Kind}. */
export type Kind = typeof Kind[keyof typeof Kind]

export const serverSchema = z.strictObject({
  kind: z.enum([Kind.engine, Kind.service]),
  /** Base address: scheme, IP number and port. */
  address: z.string().regex(/^https?:\/\/(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-f:]+\]):\d+$/,
    'expected http://IP-NUMBER:PORT'),
  data_centre: z.string().min(1),
  /** The models an engine serves. */
  models: z.array(z.string().min(1)).default([]),
  /** The plain service that the server belongs to. */
  service: z.string().min(1).optional(),
  /** Whether the server refuses an order with an old fencing number. */
  checks_fencing: z.boolean().default(false),
  /** A draining server gets no new work. */
  draining: z.boolean().default(false)
}).refine(server => server.kind === Kind.engine || server.service !== undefined,
  'a server of kind "service" must name its service')

/** A backend server: an engine, or a worker of a plain service. */
export interface BackendServer {
  readonly name: string
  readonly kind: Kind
  readonly address: string
  readonly dataCentre: string
  readonly models: readonly string[]
  readonly service: string | undefined
  readonly checksFencing: boolean
  readonly draining: boolean
}

/**
 * @param name - the server's name
 * @param stated - what the document states of it
 * @returns the server
 */
export function toServer (name: string, stated: z.output<typeof serverSchema>): BackendServer {
  return {
    name,
    kind: stated.kind,
    address: stated.address,
    dataCentre: stated.data_centre,
    models: stated.models,
    service: stated.service,
    checksFencing: stated.checks_fencing,
    draining: stated.draining
  }
}
