import { create, type MessageInitShape } from '@bufbuild/protobuf'
import type { Job } from '../schedule/index.js'
import { type Ask, AskSchema, type Place, PlaceSchema, type Reply, ReplySchema } from './dispatch_pb.js'

/** What a host asks. */
export type AskBody = NonNullable<MessageInitShape<typeof AskSchema>['body']>

/** What a scheduler replies. */
export type ReplyBody = NonNullable<MessageInitShape<typeof ReplySchema>['body']>

/**
 * @param job - the number of the job at its host; 0 for none
 * @param body - what is asked
 * @returns the frame
 */
export function askFrame (job: number, body: AskBody): Ask {
  return create(AskSchema, { job, body })
}

/**
 * @param job - the number of the job at its host; 0 for none
 * @param body - what is replied
 * @returns the frame
 */
export function replyFrame (job: number, body: ReplyBody): Reply {
  return create(ReplySchema, { job, body })
}

/**
 * Writes a job for another host.
 *
 * @param job - the job, by this host's clock
 * @param now - this host's steady time, in milliseconds
 * @returns the job with relative times
 */
export function toPlace (job: Job, now: number): Place {
  return create(PlaceSchema, {
    service: job.service,
    route: job.route,
    fingerprint: job.fingerprint,
    organisationRank: job.organisationRank,
    rank: job.rank,
    organisation: job.organisation ?? '',
    units: job.units,
    promptTokens: job.promptTokens,
    events: job.events,
    ageMs: now - job.arrivedAt,
    lateInMs: job.lateAt - now,
    objectiveMs: job.objectiveMs,
    pauseMs: job.pauseMs,
    leftMs: job.deadlineAt - now,
    dataCentre: job.dataCentre,
    avoided: [...job.avoided],
    repeat: job.isRepeat,
    charged: job.isCharged
  })
}

/**
 * Reads a job of another host.
 *
 * @param id - the job's id over all hosts
 * @param place - the job with relative times
 * @param now - this host's steady time, in milliseconds
 * @returns the job, by this host's clock
 */
export function fromPlace (id: string, place: Place, now: number): Job {
  return {
    id,
    service: place.service,
    route: place.route,
    fingerprint: place.fingerprint,
    organisationRank: place.organisationRank,
    rank: place.rank,
    organisation: place.organisation === '' ? undefined : place.organisation,
    units: place.units,
    promptTokens: place.promptTokens,
    events: place.events,
    arrivedAt: now - place.ageMs,
    lateAt: now + place.lateInMs,
    objectiveMs: place.objectiveMs,
    pauseMs: place.pauseMs,
    deadlineAt: now + place.leftMs,
    dataCentre: place.dataCentre,
    avoided: place.avoided,
    isRepeat: place.repeat,
    isCharged: place.charged
  }
}
