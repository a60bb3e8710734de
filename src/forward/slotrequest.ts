import type { Job } from '../schedule/index.js'
import type { CallerRequest } from './callerrequest.js'
import type { ForwardContext } from './context.js'

/** What distinguishes the slot requests of one attempt. */
export interface SlotRequest {
  readonly service: string
  /** Ids of the servers that may not be granted. */
  readonly excludedServers: readonly string[]
  /** Whether the request was sent to a server before. */
  readonly isRetry: boolean
  /** Whether the units were already taken from the quota. */
  readonly isCharged: boolean
}

/**
 * Describes a caller's request to the scheduler.
 *
 * @param context - what the handling of requests depends on
 * @param request - the caller's request
 * @param slotRequest - what distinguishes this request for a slot from others of the attempt
 * @returns the job, whose id the dispatcher assigns
 */
export function buildJob (context: ForwardContext, request: CallerRequest, slotRequest: SlotRequest): Omit<Job, 'id'> {
  const { route, organisation } = request
  const tokensPerEvent = context.deployment()?.services.get(slotRequest.service)?.tokensPerEvent ?? 1
  return {
    ...slotRequest,
    excludedServers: [...slotRequest.excludedServers, ...context.fleet.statements.listPaused(context.clock.now())],
    reportsLimits: true,
    route: route.name,
    fingerprint: request.fingerprint,
    sharedPromptParts: request.sharedPromptParts,
    organisationRank: organisation?.rank ?? 0,
    rank: route.rank,
    organisation: organisation?.name,
    units: request.units,
    promptTokens: request.promptTokens,
    expectedEvents: request.expectedTokens / tokensPerEvent,
    arrivedAt: request.arrivedAt,
    objectiveAt: request.objectiveAt,
    objectiveMs: route.objectiveMs,
    maxEventGapMs: route.maxEventGapMs,
    deadlineAt: request.deadlineAt,
    dataCentre: context.dataCentre
  }
}
