/** The HTTP API for callers: authenticates requests, forwards them to owners and services, and returns the answers. */
export { BodyFailure, readBody } from './body.js'
export {
  authenticateOrganisation, bearerToken, CallerFailure, checkDuplicateHeaders, parseIdempotencyKey
} from './caller.js'
export type { EntryContext, Env } from './context.js'
export { Delivery } from './delivery.js'
export type { DeliveryContext, DeliveryRequest } from './deliverycontext.js'
export { type EngineRequest, parseEngineRequest, RequestFailure } from './enginerequest.js'
export type { Owners } from './owners.js'
export { eligibleServers, MAX_CANDIDATES, selectCandidates } from './placement.js'
export { ExecutionOutcome, type Problem, problemBody, problemEvent, problemResponse } from './problem.js'
export { RequestFilter, rejection } from './requestfilter.js'
export { ResponseIds } from './responseid.js'
export { ResponseRoutes } from './responseroutes.js'
export { ServiceRoutes } from './serviceroutes.js'
