/** Measures the scheduler's processor time per request, by backend servers and queued jobs, for docs/CAPACITY.md. */
import { Outcome, Scheduler } from '../src/schedule/index.js'
import { job, server } from '../test/jobs.js'
import { WIDE_LIMITS } from '../test/rig.js'

const REQUEST_COUNT = 4_000
const US_PER_MS = 1_000

for (const serverCount of [8, 30, 80, 300]) {
  for (const queuedCount of [0, 50, 200]) {
    const scheduler = new Scheduler(WIDE_LIMITS)
    const servers = Array.from({ length: serverCount }, (_, index) => server(`s${index}`, { slots: 10 }))
    scheduler.setServers(servers, 0)
    const slotCount = serverCount * 10
    const lenientTargets = { arrivedAt: 0, objectiveMs: 1e9, deadlineAt: 1e10 }
    const running: Array<readonly [string, string]> = []
    const collectGrants = (effects: ReturnType<Scheduler['submit']>): void => {
      for (const effect of effects) if (effect.kind === 'grant') running.push([effect.job, effect.server])
    }
    // With an empty queue a tenth of the slots is idle; otherwise all slots are in use and `queuedCount` jobs wait.
    const jobCount = queuedCount === 0 ? Math.floor(slotCount * 0.9) : slotCount + queuedCount
    for (let i = 0; i < jobCount; i++) collectGrants(scheduler.submit(job(`f${i}`, lenientTargets), 0))
    const cpuBefore = process.cpuUsage()
    for (let i = 0; i < REQUEST_COUNT; i++) {
      collectGrants(scheduler.submit(job(`r${i}`, lenientTargets), i))
      const [jobId, serverId] = running.shift()!
      scheduler.recordFirstEvent(jobId, serverId, i)
      collectGrants(scheduler.recordEnd(jobId, serverId, Outcome.done, 20, i))
    }
    const { user, system } = process.cpuUsage(cpuBefore)
    const usPerRequest = (user + system) / REQUEST_COUNT
    const perSecond = Math.round(US_PER_MS * US_PER_MS / usPerRequest)
    process.stdout.write(`${serverCount} servers, ${queuedCount} queued: ${usPerRequest.toFixed(1)} us per request, ${perSecond} requests per second per core\n`)
  }
}
