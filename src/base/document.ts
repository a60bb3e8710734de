import { err, ok, type Result } from 'neverthrow'
import { parse } from 'smol-toml'
import { z } from 'zod'
import { Failure, toError } from './failure.js'
import { nearest } from './nearest.js'

/** Says that a TOML document can't be used: names the file, the key and the value. */
export class DocumentFailure extends Failure<'syntax' | 'schema'> {}

const VALUE_SHOWN_CHARS = 60

function valueAt (root: unknown, path: readonly PropertyKey[]): unknown {
  let value = root
  for (const step of path) value = (value as Record<PropertyKey, unknown> | undefined)?.[step]
  return value
}

function shapeAt (schema: z.ZodType, path: readonly PropertyKey[]): string[] {
  let at: unknown = schema
  for (const step of path) {
    at = unwrap(at)
    if (at instanceof z.ZodObject) at = at.shape[step as string]
    else if (at instanceof z.ZodRecord) at = at.valueType
    else if (at instanceof z.ZodArray) at = at.element
  }
  at = unwrap(at)
  return at instanceof z.ZodObject ? Object.keys(at.shape) : []
}

function unwrap (schema: unknown): unknown {
  let at = schema
  while (at instanceof z.ZodOptional || at instanceof z.ZodDefault || at instanceof z.ZodPrefault) at = at.unwrap()
  return at
}

function show (value: unknown): string {
  const text = JSON.stringify(value) ?? 'nothing'
  return text.length > VALUE_SHOWN_CHARS ? `${text.slice(0, VALUE_SHOWN_CHARS)}…` : text
}

function describe (file: string, schema: z.ZodType, root: unknown, issue: z.core.$ZodIssue): string {
  const key = issue.path.join('.') || '(top level)'
  if (issue.code === 'unrecognized_keys') {
    const unknown = issue.keys[0] ?? ''
    const guess = nearest(unknown, shapeAt(schema, issue.path))
    const hint = guess === undefined ? '' : `; did you mean "${guess}"?`
    return `${file}: ${key}: unknown key "${unknown}"${hint}`
  }
  return `${file}: ${key}: ${show(valueAt(root, issue.path))}: ${issue.message}`
}

/**
 * Reads a TOML document and checks it.
 *
 * @param file - the document's name, for messages
 * @param text - the document
 * @param schema - what the document must look like
 * @returns the checked value, or what is wrong with the first offending key
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
  const checked = schema.safeParse(root)
  if (checked.success) return ok(checked.data)
  // A mistyped key also makes the right one missing: the mistyped one is told first.
  const issues = checked.error.issues
  const first = issues.find(issue => issue.code === 'unrecognized_keys') ?? issues[0]!
  const message = describe(file, schema, root, first)
  return err(new DocumentFailure('DocumentFailure', { code: 'schema' }, message))
}
