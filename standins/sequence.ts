import { hash } from '../src/base/index.js'

/** Speed and capacity of an engine. */
export interface EngineParameters {
  /** Number of sequences decoded at once; further ones wait in the engine's queue. */
  readonly maxBatchSize: number
  /** Prefill speed, in prompt tokens per millisecond. */
  readonly prefillTokensPerMs: number
  /** Duration of a decoding step with one sequence, in milliseconds. */
  readonly stepMs: number
  /** Time that each further sequence adds to a step, in milliseconds. */
  readonly stepPerSequenceMs: number
  /** Number of prompt prefixes that the cache holds; the least recently used one is evicted. */
  readonly prefixCacheSize: number
}

/** State of one response in an engine. */
export interface Sequence {
  readonly id: string
  /** Identifies the request in tests; retries under new response ids share it. */
  readonly nonce: string
  readonly promptTokens: number
  /** Text that the prefix cache is keyed by: the request's instructions. */
  readonly prefix: string
  readonly prefixTokens: number
  /** Number of tokens after which the response is complete. */
  readonly outputTokens: number
  generatedTokens: number
  isCancelled: boolean
  /** Server-sent events emitted so far, encoded. */
  readonly events: string[]
  isDone: boolean
  /** Called after each emitted event, one for each open stream. */
  readonly subscribers: Set<() => void>
}

/**
 * Generates a token that depends on the response id and the position alone, so that all engines agree on it.
 *
 * @param id - the response id
 * @param index - position of the token in the response
 * @returns the token
 */
export function generateTokenAt (id: string, index: number): string {
  return `${hash(`${id}/${index}`).toString(36)} `
}

/**
 * Computes the text that every engine generates for a response.
 *
 * @param id - the response id
 * @param tokenCount - number of tokens
 * @returns the complete text
 */
export function generateText (id: string, tokenCount: number): string {
  return Array.from({ length: tokenCount }, (_, index) => generateTokenAt(id, index)).join('')
}
