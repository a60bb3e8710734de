/** A server-sent event of a response stream. */
export interface StreamEvent {
  /** The unmodified bytes of the event, including the blank line that ends it. */
  readonly bytes: Buffer
  readonly type: string
  readonly sequence: number
  /** Id of the response, on events that carry it. */
  readonly responseId: string | undefined
  /** Id of the output item, on events that belong to one. */
  readonly itemId: string | undefined
  /** Number of output tokens in the event. */
  readonly outputTokens: number
  /** Number of output tokens of the whole response, reported by the last event. */
  readonly totalOutputTokens: number | undefined
}

interface Payload {
  type?: unknown
  sequence_number?: unknown
  item_id?: unknown
  item?: { id?: unknown }
  response?: { id?: unknown, usage?: { output_tokens?: unknown } | null }
}

/** Event types that end a response. */
const TERMINAL_TYPES: ReadonlySet<string> = new Set(['response.completed', 'response.failed', 'response.incomplete'])

/**
 * @param event - an event of a response
 * @returns whether no further event follows in the response
 */
export function isLastEvent (event: StreamEvent): boolean {
  return TERMINAL_TYPES.has(event.type)
}

function asString (value: unknown): string | undefined {
  return typeof value === 'string' ? value : undefined
}

function asNumber (value: unknown): number | undefined {
  return typeof value === 'number' ? value : undefined
}

/**
 * Parses a server-sent event.
 *
 * @param bytes - the event, including the blank line that ends it
 * @returns the event; undefined for comments and for data that is not an event of a response
 */
export function parseEvent (bytes: Buffer): StreamEvent | undefined {
  const raw = bytes.toString('utf8')
  const dataStart = raw.startsWith('data:') ? 0 : raw.indexOf('\ndata:') + 1
  if (dataStart === 0 && !raw.startsWith('data:')) return undefined
  const dataEnd = raw.indexOf('\n', dataStart)
  let payload: Payload
  try {
    payload = JSON.parse(raw.slice(dataStart + 5, dataEnd === -1 ? undefined : dataEnd)) as Payload
  } catch {
    return undefined
  }
  const type = asString(payload.type)
  const sequence = asNumber(payload.sequence_number)
  if (type === undefined || sequence === undefined) return undefined
  return {
    bytes,
    type,
    sequence,
    responseId: asString(payload.response?.id),
    itemId: asString(payload.item_id) ?? asString(payload.item?.id),
    outputTokens: type === 'response.output_text.delta' ? 1 : 0,
    totalOutputTokens: asNumber(payload.response?.usage?.output_tokens)
  }
}
