import type { BackendServer } from '../src/fleet/index.js'
import type { Job } from '../src/schedule/index.js'

/** @returns a job with what is stated, the rest being usual */
export function job (id: string, stated: Partial<Job> = {}): Job {
  const { arrivedAt = 0, objectiveMs = 600 } = stated
  return {
    id,
    service: 's',
    organisationRank: 0,
    rank: 1,
    organisation: undefined,
    units: 1,
    promptTokens: 1_000,
    events: 30,
    arrivedAt,
    lateAt: arrivedAt + objectiveMs,
    objectiveMs,
    pauseMs: 250,
    deadlineAt: arrivedAt + 12_000,
    dataCentre: 'd',
    avoided: [],
    isRepeat: false,
    isCharged: false,
    ...stated
  }
}

/** @returns a server with what is stated, the rest being usual */
export function server (id: string, stated: Partial<BackendServer> = {}): BackendServer {
  return {
    id, born: 1, service: 's', address: `${id}:1`, dataCentre: 'd', version: 'v', slots: 1, isDraining: false, coldMs: 0, ...stated
  }
}
