import type { BackendServer } from '../src/fleet/index.js'
import { type Effect, type Job, Scheduler } from '../src/schedule/index.js'
import { WIDE_LIMITS } from './rig.js'

/** @returns a job with what is stated, the rest being usual */
export function job (id: string, stated: Partial<Job> = {}): Job {
  const { arrivedAt = 0, objectiveMs = 600 } = stated
  return {
    id,
    service: 's',
    route: 'r',
    fingerprint: id,
    organisationRank: 0,
    rank: 1,
    organisation: undefined,
    units: 1,
    promptTokens: 1_000,
    expectedEvents: 30,
    arrivedAt,
    objectiveAt: arrivedAt + objectiveMs,
    objectiveMs,
    maxEventGapMs: 250,
    deadlineAt: arrivedAt + 12_000,
    dataCentre: 'd',
    excludedServers: [],
    isRetry: false,
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

export function schedulerOf (...servers: BackendServer[]): Scheduler {
  const scheduler = new Scheduler(WIDE_LIMITS)
  scheduler.setServers(servers)
  return scheduler
}

export function granted (effects: readonly Effect[]): string[] {
  return effects.filter(effect => effect.kind === 'grant').map(effect => effect.job)
}

export function refused (effects: readonly Effect[]): string[] {
  return effects.filter(effect => effect.kind === 'refuse').map(effect => effect.job)
}
