import { err, ok, type Result } from 'neverthrow'
import { z } from 'zod'
import { digest, Failure, nearest } from '../base/index.js'
import type { Configuration } from '../config/index.js'
import type { Demand } from '../owner/index.js'

/** Says what is wrong with a request's body. */
export class RequestFailure extends Failure<'malformed' | 'unknown-class'> {}

const CHARS_PER_TOKEN = 4
/** Taken as the bound of a request that states none. */
const GREATEST_OUTPUT_TOKENS = 1_000_000

const schema = z.looseObject({
  model: z.string().optional(),
  instructions: z.string().nullish(),
  input: z.union([z.string(), z.array(z.unknown())]),
  stream: z.boolean().nullish(),
  max_output_tokens: z.number().int().positive().nullish(),
  metadata: z.looseObject({ class: z.string() })
})

/** A request to an engine, as far as it is understood here. */
export interface Draft {
  readonly demand: Demand
  readonly isStream: boolean
  /** Hash of the body. */
  readonly fingerprint: string
  /** The body to forward, as JSON. */
  readonly body: string
}

function failure (code: 'malformed' | 'unknown-class', message: string): RequestFailure {
  return new RequestFailure('RequestFailure', { code }, message)
}

function tokens (value: unknown): number {
  const text = typeof value === 'string' ? value : JSON.stringify(value) ?? ''
  return Math.ceil(text.length / CHARS_PER_TOKEN)
}

/**
 * Reads a request's body.
 *
 * @param text - the body
 * @param organisation - the caller's organisation
 * @param configuration - the configuration in force
 * @returns what the request asks for, or what is wrong with it
 */
export function readDraft (text: string, organisation: string, configuration: Configuration):
Result<Draft, RequestFailure> {
  let json: unknown
  try {
    json = JSON.parse(text)
  } catch (thrown) {
    return err(failure('malformed', `the body is no JSON: ${(thrown as Error).message}`))
  }
  const parsed = schema.safeParse(json)
  if (!parsed.success) {
    const issue = parsed.error.issues[0]!
    return err(failure('malformed', `${issue.path.join('.') || 'body'}: ${issue.message}`))
  }
  const name = parsed.data.metadata.class
  const workClass = configuration.classes.get(name)
  if (workClass === undefined) {
    const guess = nearest(name, [...configuration.classes.keys()])
    const hint = guess === undefined ? '' : `; did you mean "${guess}"?`
    return err(failure('unknown-class', `metadata.class: there is no class "${name}"${hint}`))
  }
  const prefixTokens = tokens(parsed.data.instructions ?? '')
  const prefix = prefixTokens === 0 ? '' : digest(parsed.data.instructions!).slice(0, 16)
  const promptTokens = prefixTokens + tokens(parsed.data.input)
  const outputLimit = parsed.data.max_output_tokens ?? GREATEST_OUTPUT_TOKENS
  return ok({
    demand: { organisation, workClass, promptTokens, prefix, prefixTokens, outputLimit },
    isStream: parsed.data.stream === true,
    fingerprint: digest(text),
    body: JSON.stringify({ ...parsed.data, model: workClass.model, stream: true, background: undefined })
  })
}
