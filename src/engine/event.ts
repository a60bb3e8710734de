/** One server-sent event of an answer. */
export interface StreamEvent {
  /** The event as it came, with its closing blank line. */
  readonly bytes: Buffer
  readonly type: string
  readonly sequence: number
  /** The response it says it belongs to, if it says so. */
  readonly responseId: string | undefined
  /** The output item it belongs to, if any. */
  readonly itemId: string | undefined
  /** Tokens of output that it carries. */
  readonly tokens: number
  /** Output tokens in all, told by the last event. */
  readonly totalTokens: number | undefined
}

interface Payload {
  type?: unknown
  sequence_number?: unknown
  item_id?: unknown
  item?: { id?: unknown }
  response?: { id?: unknown, usage?: { output_tokens?: unknown } | null }
}

/** Types of events after which an answer has no more. */
const LAST_TYPES: ReadonlySet<string> = new Set(['response.completed', 'response.failed', 'response.incomplete'])

/**
 * @param event - an event of an answer
 * @returns whether it is the answer's last
 */
export function isLast (event: StreamEvent): boolean {
  return LAST_TYPES.has(event.type)
}

function text (value: unknown): string | undefined {
  return typeof value === 'string' ? value : undefined
}

function count (value: unknown): number | undefined {
  return typeof value === 'number' ? value : undefined
}

/**
 * Reads one event.
 *
 * @param bytes - the event with its closing blank line
 * @returns the event, or undefined for a comment or for what is no event of an answer
 */
export function readEvent (bytes: Buffer): StreamEvent | undefined {
  const raw = bytes.toString('utf8')
  const at = raw.startsWith('data:') ? 0 : raw.indexOf('\ndata:') + 1
  if (at === 0 && !raw.startsWith('data:')) return undefined
  const end = raw.indexOf('\n', at)
  let payload: Payload
  try {
    payload = JSON.parse(raw.slice(at + 5, end === -1 ? undefined : end)) as Payload
  } catch {
    return undefined
  }
  const type = text(payload.type)
  const sequence = count(payload.sequence_number)
  if (type === undefined || sequence === undefined) return undefined
  return {
    bytes,
    type,
    sequence,
    responseId: text(payload.response?.id),
    itemId: text(payload.item_id) ?? text(payload.item?.id),
    tokens: type === 'response.output_text.delta' ? 1 : 0,
    totalTokens: count(payload.response?.usage?.output_tokens)
  }
}
