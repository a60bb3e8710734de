/** What identifies a request when crashes are compared. */
export interface RequestTraits {
  /** Equal for requests with the same path, organisation and body. */
  readonly fingerprint: string
  /** Ids of the parts of the prompt that other requests may share. */
  readonly sharedPromptParts: readonly string[]
}
