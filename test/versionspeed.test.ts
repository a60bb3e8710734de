import { describe, it } from 'node:test'
import { expect } from 'earl'
import { type Random, SeededRandom } from '../src/base/index.js'
import { type MigrationOrder, MigrationStage } from '../src/migration/index.js'
import { SpeedComparison } from '../src/migration/speedcomparison.js'
import { Outcome } from '../src/schedule/index.js'
import { createScheduler, job, server } from './jobs.js'

/** The users' targets: how many slow versions may be completed, and how many good ones rolled back. */
const MAX_SLOW_COMPLETED_SHARE = 0.01
const MAX_GOOD_ROLLED_BACK_SHARE = 0.02

const SLOWDOWN = 3
const DRAWS = 1_000
const SEED = 7

/** Gap between two events of an engine of speed factor 1 on each route, in milliseconds. */
const GAPS_MS = [28, 27, 25]
const SAMPLES_PER_ROUTE = 4

/** How the speed factors of servers are drawn: engines of three kinds, or any speed within the same bounds. */
const SPEEDS: Readonly<Record<string, (random: Random) => number>> = {
  'of three kinds': random => [0.55, 1, 2.8][Math.floor(random.next() * 3)]!,
  'of any speed': random => 0.55 * (2.8 / 0.55) ** random.next()
}

/** Numbers of servers of the new and the old version. */
const SIZES: ReadonlyArray<readonly [number, number]> = [[2, 4], [3, 6], [4, 8], [6, 6], [8, 13]]

function isCompleted (
  slowdown: number, [canaryCount, stableCount]: readonly [number, number], drawSpeed: (random: Random) => number,
  random: Random
): boolean {
  const speeds = new SpeedComparison()
  for (let index = 0; index < canaryCount + stableCount; index++) {
    const isCanary = index < canaryCount
    const factor = drawSpeed(random) * (isCanary ? slowdown : 1)
    for (const [route, gapMs] of GAPS_MS.entries()) {
      for (let sample = 0; sample < SAMPLES_PER_ROUTE; sample++) {
        const load = 0.8 + 0.6 * random.next()
        speeds.record(`r${route}`, `s${index}`, isCanary, gapMs * factor * load)
      }
    }
  }
  return !speeds.isCanarySlower && speeds.isSlowRuledOut(canaryCount)
}

function completedShare (slowdown: number, size: readonly [number, number], kind: string): number {
  const random = new SeededRandom(SEED)
  let completed = 0
  for (let draw = 0; draw < DRAWS; draw++) if (isCompleted(slowdown, size, SPEEDS[kind]!, random)) completed++
  return completed / DRAWS
}

const ORDER: MigrationOrder = { service: 's', version: 'v2', durationMs: 15_000, revision: 7 }

describe('the servers of a new version', () => {
  // Guards against EXPOSURE: only the fastest server of a new version got requests, and showed nothing of the others.
  it('all get requests, whatever their speed', () => {
    const canaries = ['x', 'y', 'z']
    const scheduler = createScheduler(server('a'), ...canaries.map(id => server(id, { version: ORDER.version })))
    scheduler.loads.adoptSpeeds(canaries.map((id, index) => ({ server: id, tokenMs: 0.01, stepMs: 20 * 2 ** index })))
    scheduler.migrations.setLatest(ORDER, MigrationStage.running, ORDER.durationMs)
    const granted = new Set<string>()
    for (let now = 0; now < ORDER.durationMs / 2; now += 25) {
      for (const effect of scheduler.submit(job(`${now}`, { arrivedAt: now }), now)) {
        if (effect.kind !== 'grant') continue
        granted.add(effect.server)
        scheduler.recordEnd(effect.job, effect.server, Outcome.done, undefined, now + 20)
      }
    }
    expect([...granted].sort()).toEqual(['a', ...canaries])
  })
})

describe('a comparison of versions on engines of unlike speed', () => {
  for (const kind of Object.keys(SPEEDS)) {
    // Guards against EXPOSURE: a slow version was completed, as its few servers happened to have fast engines.
    it(`completes few versions three times as slow, ${kind}`, () => {
      const shares = SIZES.map(size => completedShare(SLOWDOWN, size, kind))
      expect(shares.filter(share => share >= MAX_SLOW_COMPLETED_SHARE)).toEqual([])
    })

    // Guards against good versions that are rolled back where there are enough servers to tell.
    it(`rolls back few good versions on many servers, ${kind}`, () => {
      expect(1 - completedShare(1, [16, 32], kind) < MAX_GOOD_ROLLED_BACK_SHARE).toEqual(true)
    })
  }
})
