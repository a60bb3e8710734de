import { readFileSync } from 'node:fs'
import { err, ok, type Result } from 'neverthrow'
import { z } from 'zod'
import { Failure, readDocument, toError } from '../base/index.js'
import { durationSchema } from '../config/index.js'

/** A settings file, or a file that it names, can't be read (`unreadable`) or has an error (`invalid`). */
export class SettingsFailure extends Failure<'unreadable' | 'invalid'> {}

const ipSchema = z.string().regex(/^(\d{1,3}(\.\d{1,3}){3}|[0-9a-f:]+:[0-9a-f:]*)$/, 'expected an IP number')
const portSchema = z.number().int().min(0).max(65535)

const listenerSchema = z.strictObject({ ip: ipSchema, port: portSchema })

const limitsSchema = z.strictObject({
  /** Maximum size of a request body, in bytes. */
  body_bytes: z.number().int().min(1024).default(1 << 20),
  /** Maximum size of a request's headers, in bytes. */
  header_bytes: z.number().int().min(1024).default(16 << 10),
  /** Maximum number of open connections from callers. */
  connections: z.number().int().min(1).default(4096),
  /** Maximum number of requests in progress, queued ones included. */
  requests: z.number().int().min(1).default(2048),
  /** Time limit of an idle connection, and for receiving the headers and the body of a request. */
  idle: durationSchema.prefault('60s'),
  /** Maximum total size of stored responses, which are replayed when a caller repeats a request; in bytes. */
  answer_bytes: z.number().int().min(0).default(64 << 20),
  /** How long the idempotency key of a finished request is kept. */
  retention: durationSchema.prefault('15m'),
  /** How long a graceful shutdown waits for requests in progress. */
  drain: durationSchema.prefault('10m')
})

const platformSchema = z.strictObject({
  /** URL of the table service. */
  table: z.url(),
  /** URL of the object store. */
  objects: z.url(),
  /** URL of the list of live and leaving hosts. */
  hosts: z.url(),
  /** Name of the table in the table service. */
  table_name: z.string().min(1).default('marigoldvalve'),
  /** Name of the bucket in the object store. */
  bucket: z.string().min(1).default('marigoldvalve'),
  region: z.string().min(1).default('local'),
  access_key: z.string().min(1),
  /** Path of the file that contains the secret key. */
  secret_key_file: z.string().min(1),
  /** Time limit of one call to the platform. */
  timeout: durationSchema.prefault('2s')
})

const settingsSchema = z.strictObject({
  /** Name of this host, unique within the deployment. */
  host: z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'expected a host name of a-z, 0-9 and "-"'),
  data_centre: z.string().min(1),
  /** Address on which callers and operators connect. */
  listen: listenerSchema,
  /** Address on which other hosts connect. */
  peer: listenerSchema.extend({
    /** Path of the file that contains the key shared by all hosts. */
    key_file: z.string().min(1),
    /** Address that is advertised to other hosts, if it differs from the one this process listens on. */
    announce: listenerSchema.optional()
  }),
  platform: platformSchema,
  limits: limitsSchema.prefault({}),
  log: z.strictObject({
    level: z.enum(['trace', 'debug', 'info', 'warn', 'error', 'fatal']).default('info')
  }).prefault({}),
  metrics: z.strictObject({ ip: ipSchema, port: portSchema }).optional()
})

/** The settings of one process, read when it starts. */
export type Settings = z.output<typeof settingsSchema>

/**
 * Parses and validates the content of a settings file.
 *
 * @param file - the file's path, for error messages
 * @param text - the content of the file, in TOML
 * @returns the settings with defaults filled in, or the first error in them
 */
export function parseSettings (file: string, text: string): Result<Settings, SettingsFailure> {
  return readDocument(file, text, settingsSchema)
    .mapErr(cause => new SettingsFailure('SettingsFailure', { code: 'invalid' }, cause.message))
}

/**
 * Reads a text file, such as a key file.
 *
 * @param file - the file's path
 * @returns the content without leading and trailing white space, or why the file can't be read
 */
export function readTextFile (file: string): Result<string, SettingsFailure> {
  try {
    return ok(readFileSync(file, 'utf8').trim())
  } catch (thrown) {
    const message = `${file}: ${toError(thrown).message}`
    return err(new SettingsFailure('SettingsFailure', { code: 'unreadable', cause: toError(thrown) }, message))
  }
}

/**
 * Reads, parses and validates a settings file.
 *
 * @param file - the file's path
 * @returns the settings with defaults filled in, or the first error in them
 */
export function loadSettings (file: string): Result<Settings, SettingsFailure> {
  return readTextFile(file).andThen(text => parseSettings(file, text))
}
