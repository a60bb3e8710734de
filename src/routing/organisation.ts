/** What an organisation's quota counts. */
export const Unit = { requests: 'requests', tokens: 'tokens' } as const

/** One of the values of {@link Unit}. */
export type Unit = typeof Unit[keyof typeof Unit]

/** A group of callers that share API keys and a quota. */
export interface Organisation {
  readonly name: string
  readonly keys: readonly string[]
  /**
   * Priority of the organisation's requests; 0 is the highest and the default. It is compared before the ranks of
   * routes.
   */
  readonly rank: number | undefined
  readonly unit: Unit
  /** Tokens that a request counts if it states no token count. */
  readonly plainTokens: number
  /** Rate at which the quota is refilled on all hosts together, in units per second; 0 for no limit. */
  readonly ratePerS: number
  /** Most units that may be used at once. */
  readonly burst: number
}
