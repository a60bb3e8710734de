import { afterEach, beforeEach, describe, it } from 'node:test'
import { createLogger } from 'bunyan'
import { expect } from 'earl'
import { Adapter } from '../platform/adapter.js'
import { RowStore } from '../platform/rowstore.js'
import { MigrationController } from '../src/gateway/migrationcontroller.js'
import { MigrationStage } from '../src/migration/index.js'
import type { Scheduler } from '../src/schedule/index.js'
import { revisionOf, type Row } from '../src/store/index.js'
import { RowsStandin, StoreFault } from '../standins/rows.js'
import { createScheduler, job, server } from './jobs.js'

const KEY = 'rollout/s'
const ORDER = { service: 's', to: 'v2', duration_s: 10 }
const DURATION_MS = 10_000

function row (table: string, value: unknown, revision: number): Row {
  return { table, key: KEY, value: Buffer.from(JSON.stringify(value)), revision }
}

async function waitFor (condition: () => boolean): Promise<void> {
  for (let i = 0; i < 200 && !condition(); i++) await new Promise(resolve => setTimeout(resolve, 5))
  expect(condition()).toEqual(true)
}

describe('orders of version migrations', () => {
  let standin: RowsStandin
  let store: RowStore
  let scheduler: Scheduler
  let controller: MigrationController

  function createController (): MigrationController {
    scheduler = createScheduler(server('a', { slots: 9 }), server('x', { slots: 9, version: 'v2' }))
    return new MigrationController(new Adapter(store), scheduler.migrations, createLogger({ name: 'test', level: 60 }))
  }

  /** Runs a series of requests, which end with the given outcome at the new version and succeed elsewhere. */
  function runRequests (canaryOutcome: 'done' | 'failed', now: number): void {
    for (let i = 0; i < 40; i++) {
      for (const effect of scheduler.submit(job(`${now}-${i}`, { arrivedAt: now, promptTokens: 0 }), now)) {
        if (effect.kind !== 'grant') continue
        const outcome = effect.server === 'x' ? canaryOutcome : 'done'
        scheduler.recordEnd(effect.job, effect.server, outcome, 90, now + 1)
      }
    }
  }

  function reportedState (): string | undefined {
    return (standin.read('status', KEY) as { state: string } | undefined)?.state
  }

  beforeEach(async () => {
    standin = await RowsStandin.start()
    store = new RowStore(standin.address)
    standin.put('op', KEY, ORDER)
    controller = createController()
    controller.setStoreClock(1_000_000, 0)
  })

  afterEach(async () => {
    await store.close()
    standin.close()
  })

  it('are reported as running, then as completed at their due time', async () => {
    expect(controller.applyOrder(row('op', ORDER, 1), 0)).toEqual(true)
    controller.tick(true, 0)
    await waitFor(() => reportedState() === 'running')
    for (let now = 1_000; now < 8_000; now += 1_000) runRequests('done', now)
    controller.tick(true, DURATION_MS - 500)
    expect(reportedState()).toEqual('running')
    // Ticks repeatedly, since the write of the previous report may still be in flight.
    await waitFor(() => {
      controller.tick(true, DURATION_MS - 300)
      return reportedState() !== 'running'
    })
    expect(reportedState()).toEqual('completed')
  })

  it('are reported as rolled back as soon as the version fails', async () => {
    controller.applyOrder(row('op', ORDER, 1), 0)
    for (let now = 100; now < 1_000; now += 100) runRequests('failed', now)
    controller.tick(true, 1_000)
    await waitFor(() => reportedState() === 'rolled_back')
    expect((standin.read('status', KEY) as { to: string }).to).toEqual('v2')
  })

  it('are reported only by the host that is the selected scheduler', async () => {
    controller.applyOrder(row('op', ORDER, 1), 0)
    controller.tick(false, 0)
    await new Promise(resolve => setTimeout(resolve, 30))
    expect(reportedState()).toEqual(undefined)
  })

  it('end as the stored report states, whatever this host would have decided', async () => {
    controller.applyOrder(row('op', ORDER, 1), 0)
    controller.applyReport(row('status', { state: 'rolled_back', to: 'v2' }, 9))
    expect(scheduler.migrations.getLatest('s', 20_000)!.stage).toEqual(MigrationStage.rolledBack)
    controller.tick(true, 20_000)
    await new Promise(resolve => setTimeout(resolve, 30))
    expect(standin.callCounts.get('/marigoldvalve/rows-tx')).toEqual(undefined)
  })

  it('start anew if the stored report is older than the order', () => {
    controller.applyReport(row('status', { state: 'rolled_back', to: 'v2' }, 0))
    controller.applyOrder(row('op', ORDER, 1), 0)
    expect(scheduler.migrations.getLatest('s', 0)!.stage).toEqual(MigrationStage.running)
  })

  // Guards against overwriting the end of a migration: a write whose response is lost has taken effect, and another
  // host may have reported the end before this one retries its write.
  it('are reported again if the response of the store was lost, but never over an end that was not read', async () => {
    controller.applyOrder(row('op', ORDER, 1), 0)
    standin.fault = StoreFault.lost
    controller.tick(true, 0)
    await waitFor(() => reportedState() === 'running')
    standin.fault = undefined
    standin.put('status', KEY, { state: 'rolled_back', to: 'v2' })
    await new Promise(resolve => setTimeout(resolve, 30))
    controller.tick(true, 500)
    await waitFor(() => (standin.callCounts.get('/marigoldvalve/rows-tx') ?? 0) === 2)
    expect(reportedState()).toEqual('rolled_back')
  })

  // Guards against a migration that is decided twice, and an operator who never learns its end: the store returned from
  // a copy that holds the order and an earlier report.
  it('are reported again, with the same end, if the store has lost the report', async () => {
    const copy = standin.takeCopy()
    controller.applyOrder(row('op', ORDER, revisionOf(1, 1)), 0)
    for (let now = 100; now < 1_000; now += 100) runRequests('failed', now)
    controller.tick(true, 1_000)
    await waitFor(() => reportedState() === 'rolled_back')
    standin.restore(copy)
    standin.put('status', KEY, { state: 'running', to: 'v2' })
    const storedVersion = standin.versionOf('status', KEY)
    await store.list('status', 1_000)
    controller.applyOrder(row('op', ORDER, revisionOf(2, 1)), 1_100)
    controller.applyReport(row('status', { state: 'running', to: 'v2' }, revisionOf(2, storedVersion)))
    expect(scheduler.migrations.getLatest('s', 1_100)!.stage).toEqual(MigrationStage.rolledBack)
    await waitFor(() => {
      controller.tick(true, 2_000)
      return reportedState() === 'rolled_back'
    })
    controller.tick(true, 20_000)
    expect(reportedState()).toEqual('rolled_back')
  })

  it('start anew if the same order is written again within an era', () => {
    controller.applyOrder(row('op', ORDER, revisionOf(1, 1)), 0)
    controller.applyReport(row('status', { state: 'rolled_back', to: 'v2' }, revisionOf(1, 2)))
    controller.applyOrder(row('op', ORDER, revisionOf(1, 3)), 100)
    expect(scheduler.migrations.getLatest('s', 100)!.stage).toEqual(MigrationStage.running)
  })

  it('are due at the reported time on a host that started after the order', () => {
    controller.setStoreClock(1_000_000, 50_000)
    controller.applyOrder(row('op', ORDER, 1), 50_000)
    controller.applyReport(row('status', { state: 'running', to: 'v2', due_ms: 1_004_000 }, 6))
    expect(scheduler.migrations.getLatest('s', 50_000)!.dueAt).toEqual(54_000)
  })
})
