import { err, ok, type Result } from 'neverthrow'
import { parse } from 'smol-toml'
import { z } from 'zod'
import { Failure, toError } from './failure.js'
import { closestWord } from './closestword.js'

/** A TOML document that does not parse or does not match its schema. The message names the file, key and value. */
export class DocumentFailure extends Failure<'syntax' | 'schema'> {}

const MAX_VALUE_CHARS = 60

function valueAt (root: unknown, path: readonly PropertyKey[]): unknown {
  let value = root
  for (const key of path) value = (value as Record<PropertyKey, unknown> | undefined)?.[key]
  return value
}

/** Lists the keys that the schema allows at a path; none if the schema has no object there. */
function allowedKeysAt (schema: z.ZodType, path: readonly PropertyKey[]): string[] {
  let current: unknown = schema
  for (const key of path) {
    current = unwrap(current)
    if (current instanceof z.ZodObject) current = current.shape[key as string]
    else if (current instanceof z.ZodRecord) current = current.valueType
    else if (current instanceof z.ZodArray) current = current.element
  }
  current = unwrap(current)
  return current instanceof z.ZodObject ? Object.keys(current.shape) : []
}

/** Removes the optional and default wrappers around a schema. */
function unwrap (schema: unknown): unknown {
  let inner = schema
  while (inner instanceof z.ZodOptional || inner instanceof z.ZodDefault ||
    inner instanceof z.ZodPrefault) inner = inner.unwrap()
  return inner
}

function formatValue (value: unknown): string {
  const text = JSON.stringify(value) ?? 'nothing'
  return text.length > MAX_VALUE_CHARS ? `${text.slice(0, MAX_VALUE_CHARS)}…` : text
}

function formatIssue (file: string, schema: z.ZodType, root: unknown, issue: z.core.$ZodIssue): string {
  const key = issue.path.join('.') || '(top level)'
  if (issue.code === 'unrecognized_keys') {
    const unknownKey = issue.keys[0] ?? ''
    const suggestion = closestWord(unknownKey, allowedKeysAt(schema, issue.path))
    const hint = suggestion === undefined ? '' : `; did you mean "${suggestion}"?`
    return `${file}: ${key}: unknown key "${unknownKey}"${hint}`
  }
  return `${file}: ${key}: ${formatValue(valueAt(root, issue.path))}: ${issue.message}`
}

/**
 * Parses a TOML document and validates it.
 *
 * @param file - name of the document, used in error messages
 * @param text - the TOML text
 * @param schema - the schema to validate against
 * @returns the validated value; `syntax` if the text is not TOML, `schema` with the first invalid key otherwise
 */
export function readDocument<Value> (file: string, text: string, schema: z.ZodType<Value>):
Result<Value, DocumentFailure> {
  let root: unknown
  try {
    root = parse(text)
  } catch (thrown) {
    const message = `${file}: ${toError(thrown).message}`
    return err(new DocumentFailure('DocumentFailure', { code: 'syntax' }, message))
  }
  const parsed = schema.safeParse(root)
  if (parsed.success) return ok(parsed.data)
  // A mistyped key usually makes a required key missing as well. Reporting the mistyped one names the cause.
  const issues = parsed.error.issues
  const first = issues.find(issue => issue.code === 'unrecognized_keys') ?? issues[0]!
  const message = formatIssue(file, schema, root, first)
  return err(new DocumentFailure('DocumentFailure', { code: 'schema' }, message))
}
