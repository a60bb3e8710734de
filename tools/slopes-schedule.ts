/** Measures what an ask costs the scheduler, by servers and waiting jobs; figures for docs/CAPACITY.md. */
import { Outcome, Scheduler } from '../src/schedule/index.js'
import { job, server } from '../test/jobs.js'
import { WIDE } from '../test/rig.js'

const ROUNDS = 4_000
const US_PER_MS = 1_000

for (const servers of [8, 30, 80, 300]) {
  for (const waiting of [0, 50, 200]) {
    const scheduler = new Scheduler(WIDE)
    const list = Array.from({ length: servers }, (_, at) => server(`s${at}`, { slots: 10 }))
    scheduler.setServers(list)
    const places = servers * 10
    const long = { arrivedAt: 0, objectiveMs: 1e9, deadlineAt: 1e10 }
    const running: Array<readonly [string, string]> = []
    const note = (effects: ReturnType<Scheduler['submit']>): void => {
      for (const effect of effects) if (effect.kind === 'grant') running.push([effect.job, effect.server])
    }
    // As many as run, or as wait beyond them; idle places are a tenth when nobody waits.
    const filled = waiting === 0 ? Math.floor(places * 0.9) : places + waiting
    for (let i = 0; i < filled; i++) note(scheduler.submit(job(`f${i}`, long), 0))
    const before = process.cpuUsage()
    for (let i = 0; i < ROUNDS; i++) {
      note(scheduler.submit(job(`r${i}`, long), i))
      const [id, at] = running.shift()!
      scheduler.recordFirstEvent(id, at, i)
      note(scheduler.recordEnd(id, at, Outcome.done, 20, i))
    }
    const { user, system } = process.cpuUsage(before)
    const us = (user + system) / ROUNDS
    const perSecond = Math.round(US_PER_MS * US_PER_MS / us)
    process.stdout.write(`${servers} servers, ${waiting} waiting: ${us.toFixed(1)} us a request, ${perSecond} a second a core\n`)
  }
}
