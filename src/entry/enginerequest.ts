import { err, ok, type Result } from 'neverthrow'
import { z } from 'zod'
import { closestWord, digest, Failure } from '../base/index.js'
import type { Configuration } from '../config/index.js'
import type { Demand } from '../owner/index.js'

/** A request body that is malformed or names an unknown class. */
export class RequestFailure extends Failure<'malformed' | 'unknown-class'> {}

/** The assumed characters per token; this host does not tokenize prompts. */
const CHARS_PER_TOKEN = 4
/** Applies to requests without `max_output_tokens`. */
const DEFAULT_OUTPUT_LIMIT_TOKENS = 1_000_000

const bodySchema = z.looseObject({
  model: z.string().optional(),
  instructions: z.string().nullish(),
  input: z.union([z.string(), z.array(z.unknown())]),
  stream: z.boolean().nullish(),
  max_output_tokens: z.number().int().positive().nullish(),
  metadata: z.looseObject({ class: z.string() })
})

/** A parsed request to an engine. */
export interface EngineRequest {
  readonly demand: Demand
  /** Whether the caller asked for an event stream. */
  readonly isStream: boolean
  /** Hash of the body as received. */
  readonly fingerprint: string
  /** The body to send to the engine, as JSON. */
  readonly body: string
}

function failure (code: 'malformed' | 'unknown-class', message: string): RequestFailure {
  return new RequestFailure('RequestFailure', { code }, message)
}

function estimateTokens (value: unknown): number {
  const text = typeof value === 'string' ? value : JSON.stringify(value) ?? ''
  return Math.ceil(text.length / CHARS_PER_TOKEN)
}

/**
 * Parses and validates the body of a request to an engine.
 *
 * @param text - the body as received
 * @param organisation - the caller's organisation
 * @param configuration - the current configuration
 * @returns the request, or what is wrong with it
 */
export function parseEngineRequest (text: string, organisation: string, configuration: Configuration):
Result<EngineRequest, RequestFailure> {
  let json: unknown
  try {
    json = JSON.parse(text)
  } catch (thrown) {
    return err(failure('malformed', `the body is not valid JSON: ${(thrown as Error).message}`))
  }
  const parsed = bodySchema.safeParse(json)
  if (!parsed.success) {
    const issue = parsed.error.issues[0]!
    return err(failure('malformed', `${issue.path.join('.') || 'body'}: ${issue.message}`))
  }
  const className = parsed.data.metadata.class
  const workClass = configuration.classes.get(className)
  if (workClass === undefined) {
    const suggestion = closestWord(className, [...configuration.classes.keys()])
    const hint = suggestion === undefined ? '' : `; did you mean "${suggestion}"?`
    return err(failure('unknown-class', `metadata.class: there is no class "${className}"${hint}`))
  }
  const prefixTokens = estimateTokens(parsed.data.instructions ?? '')
  const prefix = prefixTokens === 0 ? '' : digest(parsed.data.instructions!).slice(0, 16)
  const promptTokens = prefixTokens + estimateTokens(parsed.data.input)
  const outputLimit = parsed.data.max_output_tokens ?? DEFAULT_OUTPUT_LIMIT_TOKENS
  return ok({
    demand: { organisation, workClass, promptTokens, prefix, prefixTokens, outputLimit },
    isStream: parsed.data.stream === true,
    fingerprint: digest(text),
    body: JSON.stringify({ ...parsed.data, model: workClass.model, stream: true, background: undefined })
  })
}
