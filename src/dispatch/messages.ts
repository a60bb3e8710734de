import { create, type MessageInitShape } from '@bufbuild/protobuf'
import type { BackendServer } from '../fleet/index.js'
import type { CrashEvidence } from '../poison/index.js'
import type { Effect, Job } from '../schedule/index.js'
import { isAmount } from './amount.js'
import {
  type Ask, AskSchema, type Crashes, CrashesSchema, type Place, PlaceSchema, type Reply, ReplySchema
} from './dispatch_pb.js'

/**
 * Body of a message to a scheduler. Of the cases, `place` requests a slot, `adopt` reports a job that already holds a
 * slot, `levels` holds quota balances, and `crashes` what is known of crashes.
 */
export type AskBody = NonNullable<MessageInitShape<typeof AskSchema>['body']>

/** Body of a message from a scheduler. Of the cases, `waiting` says that a job is queued; `paces` holds speeds. */
export type ReplyBody = NonNullable<MessageInitShape<typeof ReplySchema>['body']>

/**
 * @param job - the number of the job, unique at its host; 0 if the message concerns no job
 * @param body - the content
 * @returns the message to a scheduler
 */
export function createAsk (job: number, body: AskBody): Ask {
  return create(AskSchema, { job, body })
}

/**
 * @param job - the number of the job, unique at its host; 0 if the message concerns no job
 * @param body - the content
 * @returns the message from a scheduler
 */
export function createReply (job: number, body: ReplyBody): Reply {
  return create(ReplySchema, { job, body })
}

/**
 * Encodes a job for the scheduler of another host. Times become relative, since hosts do not share a clock.
 *
 * @param job - the job, with times of this host's monotonic clock
 * @param now - the monotonic time of this host, in milliseconds
 * @returns the body of a slot request, with times relative to `now`
 */
export function encodeJob (job: Job, now: number): Place {
  return create(PlaceSchema, {
    service: job.service,
    route: job.route,
    fingerprint: job.fingerprint,
    promptParts: [...job.sharedPromptParts],
    organisationRank: job.organisationRank,
    rank: job.rank,
    organisation: job.organisation ?? '',
    units: job.units,
    promptTokens: job.promptTokens,
    events: job.expectedEvents,
    ageMs: now - job.arrivedAt,
    lateInMs: job.objectiveAt - now,
    objectiveMs: job.objectiveMs,
    pauseMs: job.maxEventGapMs,
    leftMs: job.deadlineAt - now,
    dataCentre: job.dataCentre,
    avoided: [...job.excludedServers],
    repeat: job.isRetry,
    charged: job.isCharged
  })
}

/**
 * @param server - a backend server
 * @param requestsPerS - the limit of requests that it states
 * @returns the body of a message to a scheduler
 */
export function encodeRequestLimit ({ id, born }: BackendServer, requestsPerS: number): AskBody {
  return { case: 'requestLimit', value: { server: id, born, requestsPerS } }
}

/**
 * @param server - a brittle backend server
 * @param rejectionsPerS - rejections for want of room that it endures
 * @returns the body of a message to a scheduler
 */
export function encodeBrittleness ({ id, born }: BackendServer, rejectionsPerS: number): AskBody {
  return { case: 'brittle', value: { server: id, born, rejectionsPerS } }
}

/**
 * @param server - a backend server that leaves
 * @returns the body of a message to a scheduler
 */
export function encodeLeaving ({ id, born }: BackendServer): AskBody {
  return { case: 'leaving', value: { server: id, born } }
}

/**
 * Decodes a job of another host.
 *
 * @param id - the job's id, unique over all hosts
 * @param slotRequest - the body of a slot request, with times relative to `now`
 * @param now - the monotonic time of this host, in milliseconds
 * @param reportsLimits - whether the other host reports limits of requests that servers state
 * @returns the job, with times of this host's monotonic clock
 */
export function decodeJob (id: string, slotRequest: Place, now: number, reportsLimits: boolean): Job {
  return {
    id,
    service: slotRequest.service,
    route: slotRequest.route,
    fingerprint: slotRequest.fingerprint,
    sharedPromptParts: slotRequest.promptParts,
    organisationRank: slotRequest.organisationRank,
    rank: slotRequest.rank,
    organisation: slotRequest.organisation === '' ? undefined : slotRequest.organisation,
    units: slotRequest.units,
    promptTokens: slotRequest.promptTokens,
    expectedEvents: slotRequest.events,
    arrivedAt: now - slotRequest.ageMs,
    objectiveAt: now + slotRequest.lateInMs,
    objectiveMs: slotRequest.objectiveMs,
    maxEventGapMs: slotRequest.pauseMs,
    deadlineAt: now + slotRequest.leftMs,
    dataCentre: slotRequest.dataCentre,
    excludedServers: slotRequest.avoided,
    reportsLimits,
    isRetry: slotRequest.repeat,
    isCharged: slotRequest.charged
  }
}

/**
 * @param effect - a decision of the scheduler
 * @returns the body of a message to the job's host
 */
export function encodeEffect (effect: Effect): ReplyBody {
  if (effect.kind === 'refuse') {
    const { reason, retryAfterMs } = effect
    return { case: 'refused', value: { reason, retryAfterMs } }
  }
  const { server, level } = effect
  return { case: 'grant', value: level === undefined ? { server } : { server, level } }
}

/**
 * @param evidence - what a scheduler knows of crashes
 * @returns the body of a message to another host
 */
export function encodeCrashes ({ crashes, blocked, requests, disconnects }: CrashEvidence): Crashes {
  return create(CrashesSchema, {
    crashes: crashes.map(crash => ({ ...crash, parts: [...crash.parts] })),
    blocked: blocked.map(part => ({ ...part, servers: [...part.servers] })),
    requests: requests.map(request => ({ ...request, servers: [...request.servers] })),
    disconnects: disconnects.map(disconnect => ({ ...disconnect, parts: [...disconnect.parts] }))
  })
}

/**
 * @param message - what another host knows of crashes
 * @returns the entries whose ages are valid
 */
export function decodeCrashes ({ crashes, blocked, requests, disconnects }: Crashes): CrashEvidence {
  const hasAge = ({ ageMs }: { readonly ageMs: number }): boolean => isAmount(ageMs)
  return {
    crashes: crashes.filter(hasAge),
    blocked: blocked.filter(hasAge),
    requests: requests.filter(hasAge),
    disconnects: disconnects.filter(each => hasAge(each) && isAmount(each.grantedAgeMs))
  }
}
