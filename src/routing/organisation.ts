/** What an organisation's quota counts. */
export const QuotaUnit = { requests: 'requests', tokens: 'tokens' } as const

/** One of the values of {@link QuotaUnit}. */
export type QuotaUnit = typeof QuotaUnit[keyof typeof QuotaUnit]

/** A group of callers that share API keys and a quota. */
export interface Organisation {
  readonly name: string
  readonly apiKeys: readonly string[]
  /**
   * Priority of the organisation's requests; 0 is the highest and the default. It is compared before the ranks of
   * routes.
   */
  readonly rank: number | undefined
  readonly unit: QuotaUnit
  /** Tokens that a request counts if it states no token count. */
  readonly defaultTokens: number
  /** Rate at which the quota is refilled on all hosts together, in units per second; 0 for no limit. */
  readonly ratePerS: number
  /** Most units that may be used at once. */
  readonly burst: number
}
