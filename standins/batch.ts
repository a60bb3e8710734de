import { hash } from '../src/base/index.js'

/** How fast an engine is and how much it takes at once. */
export interface Speed {
  /** Most sequences decoded at once; more wait inside the engine. */
  readonly batch: number
  /** Prompt tokens read per millisecond. */
  readonly prefillPerMs: number
  /** Time of a decoding step with one sequence, in milliseconds. */
  readonly stepMs: number
  /** Time that each further sequence adds to a step, in milliseconds. */
  readonly stepPerSequenceMs: number
  /** Prompt prefixes that the cache holds. */
  readonly prefixes: number
}

/** What an engine runs: one sequence a response. */
export interface Sequence {
  readonly id: string
  /** Names the request in tests, whatever its response's id. */
  readonly nonce: string
  readonly prompt: number
  readonly prefix: string
  readonly prefixTokens: number
  readonly length: number
  produced: number
  cancelled: boolean
  /** Events so far, each whole. */
  readonly events: string[]
  done: boolean
  readonly watchers: Set<() => void>
}

/**
 * @param id - a response
 * @param index - the token's place in the answer
 * @returns the token that any engine produces there
 */
export function tokenAt (id: string, index: number): string {
  return `${hash(`${id}/${index}`).toString(36)} `
}

/**
 * @param id - a response
 * @param length - how many tokens
 * @returns the whole text of the answer
 */
export function textOf (id: string, length: number): string {
  return Array.from({ length }, (_, index) => tokenAt(id, index)).join('')
}
