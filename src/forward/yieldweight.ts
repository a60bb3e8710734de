/** How readily holders of memory give way, by what is lost: a request that has not run can simply come again. */
export const YieldWeight = {
  /** Can't give way: a server may be running the request. */
  never: 0,
  /** A response, or the part of one. */
  response: 1,
  /** A request that has not run. */
  notRun: 4
} as const
