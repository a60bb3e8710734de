import { readFileSync } from 'node:fs'
import { err, ok, type Result } from 'neverthrow'
import { z } from 'zod'
import { Failure, readDocument, toError } from '../base/index.js'
import { duration } from '../config/index.js'

/** Says that a process can't start with its settings. */
export class SettingsFailure extends Failure<'unreadable' | 'invalid'> {}

const ip = z.string().regex(/^(\d{1,3}(\.\d{1,3}){3}|[0-9a-f:]+:[0-9a-f:]*)$/, 'expected an IP number')
const port = z.number().int().min(0).max(65535)

const listenerSchema = z.strictObject({ ip, port })

const limitsSchema = z.strictObject({
  /** Longest request body, in bytes. */
  body_bytes: z.number().int().min(1024).default(1 << 20),
  /** Longest header block, in bytes. */
  header_bytes: z.number().int().min(1024).default(16 << 10),
  /** Most connections from callers. */
  connections: z.number().int().min(1).default(4096),
  /** Most requests in progress, waiting ones included. */
  requests: z.number().int().min(1).default(2048),
  /** How long a connection may stay silent. */
  idle: duration.prefault('60s'),
  /** Most bytes kept of finished answers, for callers that send again. */
  answer_bytes: z.number().int().min(0).default(64 << 20),
  /** How long a finished request's key is remembered. */
  retention: duration.prefault('15m'),
  /** How long a planned stop may wait for requests in progress. */
  drain: duration.prefault('10m')
})

const platformSchema = z.strictObject({
  /** Address of the table service. */
  table: z.url(),
  /** Address of the object store. */
  objects: z.url(),
  /** Address of the list of live and leaving hosts. */
  hosts: z.url(),
  /** Name of the table. */
  table_name: z.string().min(1).default('marigoldvalve'),
  /** Name of the bucket. */
  bucket: z.string().min(1).default('marigoldvalve'),
  region: z.string().min(1).default('local'),
  access_key: z.string().min(1),
  /** File that holds the secret key. */
  secret_key_file: z.string().min(1),
  /** How long one call may take. */
  timeout: duration.prefault('2s')
})

const schema = z.strictObject({
  /** Name of this host; unique in the deployment. */
  host: z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'expected a host name of a-z, 0-9 and "-"'),
  data_centre: z.string().min(1),
  /** Where callers and operators connect. */
  listen: listenerSchema,
  /** Where other hosts connect. */
  peer: listenerSchema.extend({
    /** File that holds the key which all hosts share. */
    key_file: z.string().min(1),
    /** Where other hosts are told to connect, if that is not where this process listens. */
    announce: listenerSchema.optional()
  }),
  platform: platformSchema,
  limits: limitsSchema.prefault({}),
  log: z.strictObject({
    level: z.enum(['trace', 'debug', 'info', 'warn', 'error', 'fatal']).default('info')
  }).prefault({}),
  metrics: z.strictObject({ ip, port }).optional()
})

/** What one process is told at its start. */
export type Settings = z.output<typeof schema>

/**
 * Checks settings.
 *
 * @param file - the document's name, for messages
 * @param text - the document, in TOML
 * @returns the settings, or the first thing wrong with them
 */
export function parseSettings (file: string, text: string): Result<Settings, SettingsFailure> {
  return readDocument(file, text, schema)
    .mapErr(cause => new SettingsFailure('SettingsFailure', { code: 'invalid' }, cause.message))
}

/**
 * Reads a file that the settings name.
 *
 * @param file - the file's path
 * @returns its text without surrounding white space, or why it can't be read
 */
export function readSecret (file: string): Result<string, SettingsFailure> {
  try {
    return ok(readFileSync(file, 'utf8').trim())
  } catch (thrown) {
    const message = `${file}: ${toError(thrown).message}`
    return err(new SettingsFailure('SettingsFailure', { code: 'unreadable', cause: toError(thrown) }, message))
  }
}

/**
 * Reads and checks a settings file.
 *
 * @param file - the file's path
 * @returns the settings, or the first thing wrong with them
 */
export function loadSettings (file: string): Result<Settings, SettingsFailure> {
  return readSecret(file).andThen(text => parseSettings(file, text))
}
