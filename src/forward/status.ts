/** Statuses that the scheduler itself answers with or reads; RFC 9110 gives their meaning. */
export const Status = {
  badRequest: 400,
  unauthorised: 401,
  notFound: 404,
  tooLarge: 413,
  misdirected: 421,
  tooManyRequests: 429,
  headersTooLarge: 431,
  serverFault: 500,
  badGateway: 502,
  unavailable: 503,
  gatewayTimeout: 504
} as const
