/** First status of a final response, and the first number beyond all statuses, by RFC 9110. */
const FIRST_FINAL = 200
const FIRST_INVALID = 600

/**
 * @param status - what stands in the place of a status in an HTTP response
 * @returns whether it is the status of a final response; an interim one has another, and other numbers are no statuses
 */
export function isFinalStatus (status: number): boolean {
  return status >= FIRST_FINAL && status < FIRST_INVALID
}
