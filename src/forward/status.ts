/** HTTP statuses that the scheduler sends or checks for, by RFC 9110 and RFC 6585. */
export const Status = {
  noContent: 204,
  redirection: 300,
  notModified: 304,
  badRequest: 400,
  unauthorised: 401,
  notFound: 404,
  contentTooLarge: 413,
  misdirected: 421,
  tooManyRequests: 429,
  headersTooLarge: 431,
  serverError: 500,
  badGateway: 502,
  unavailable: 503,
  gatewayTimeout: 504,
  versionNotSupported: 505
} as const

/**
 * @param status - an HTTP status
 * @returns whether it states success
 */
export function isSuccess (status: number): boolean {
  return status >= 200 && status < Status.redirection
}
