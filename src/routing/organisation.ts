/** What a request counts against an organisation's allowance. */
export const Unit = { requests: 'requests', tokens: 'tokens' } as const

/** One of the values of {@link Unit}. */
export type Unit = typeof Unit[keyof typeof Unit]

/** Who sends requests and is held to an allowance. */
export interface Organisation {
  readonly name: string
  readonly keys: readonly string[]
  /** Compared before the ranks of routes; 0 is the highest, and what counts if none is stated. */
  readonly rank: number | undefined
  readonly unit: Unit
  /** What a request without stated tokens counts, in tokens. */
  readonly plainTokens: number
  /** Units a second, all hosts together; 0 for no limit. */
  readonly ratePerS: number
  /** Units that may be used at once. */
  readonly burst: number
}
