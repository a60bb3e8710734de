import { afterEach, beforeEach, describe, it } from 'node:test'
import { createLogger } from 'bunyan'
import { expect } from 'earl'
import { Adapter } from '../platform/adapter.js'
import { RowStore } from '../platform/rowstore.js'
import { Mover } from '../src/gateway/mover.js'
import { MigrationStage } from '../src/migration/index.js'
import type { Scheduler } from '../src/schedule/index.js'
import type { Row } from '../src/store/index.js'
import { RowsStandin, StoreFault } from '../standins/rows.js'
import { job, schedulerOf, server } from './jobs.js'

const KEY = 'rollout/s'
const ORDER = { service: 's', to: 'v2', duration_s: 10 }
const DURATION_MS = 10_000

function row (table: string, value: unknown, revision: number): Row {
  return { table, key: KEY, value: Buffer.from(JSON.stringify(value)), revision }
}

async function until (holds: () => boolean): Promise<void> {
  for (let i = 0; i < 200 && !holds(); i++) await new Promise(resolve => setTimeout(resolve, 5))
  expect(holds()).toEqual(true)
}

describe('orders to move a service', () => {
  let standin: RowsStandin
  let store: RowStore
  let scheduler: Scheduler
  let mover: Mover

  function moverOf (): Mover {
    scheduler = schedulerOf(server('a', { slots: 9 }), server('x', { slots: 9, version: 'v2' }))
    return new Mover(new Adapter(store), scheduler.migrations, createLogger({ name: 'test', level: 60 }))
  }

  /** Has the version answer a few calls, badly or well. */
  function answer (outcome: 'done' | 'failed', now: number): void {
    for (let i = 0; i < 40; i++) {
      for (const effect of scheduler.submit(job(`${now}-${i}`, { arrivedAt: now, promptTokens: 0 }), now)) {
        if (effect.kind !== 'grant') continue
        const came = effect.server === 'x' ? outcome : 'done'
        scheduler.recordEnd(effect.job, effect.server, came, 90, now + 1)
      }
    }
  }

  function state (): string | undefined {
    return (standin.read('status', KEY) as { state: string } | undefined)?.state
  }

  beforeEach(async () => {
    standin = await RowsStandin.start()
    store = new RowStore(standin.address)
    standin.put('op', KEY, ORDER)
    mover = moverOf()
    mover.setStoreClock(1_000_000, 0)
  })

  afterEach(async () => {
    await store.close()
    standin.close()
  })

  it('are reported as running, then as done when they are due', async () => {
    expect(mover.takeOrder(row('op', ORDER, 1), 0)).toEqual(true)
    mover.tick(true, 0)
    await until(() => state() === 'running')
    for (let now = 1_000; now < 8_000; now += 1_000) answer('done', now)
    mover.tick(true, DURATION_MS - 500)
    expect(state()).toEqual('running')
    // The host looks again and again, as the report before may still be on its way.
    await until(() => {
      mover.tick(true, DURATION_MS - 300)
      return state() !== 'running'
    })
    expect(state()).toEqual('completed')
  })

  it('are reported as taken back as soon as the version shows itself bad', async () => {
    mover.takeOrder(row('op', ORDER, 1), 0)
    for (let now = 100; now < 1_000; now += 100) answer('failed', now)
    mover.tick(true, 1_000)
    await until(() => state() === 'rolled_back')
    expect((standin.read('status', KEY) as { to: string }).to).toEqual('v2')
  })

  it('are reported by the host whose scheduler is in charge alone', async () => {
    mover.takeOrder(row('op', ORDER, 1), 0)
    mover.tick(false, 0)
    await new Promise(resolve => setTimeout(resolve, 30))
    expect(state()).toEqual(undefined)
  })

  it('end as the record says, whatever this host would have decided', async () => {
    mover.takeOrder(row('op', ORDER, 1), 0)
    mover.takeReport(row('status', { state: 'rolled_back', to: 'v2' }, 9))
    expect(scheduler.migrations.getLatest('s', 20_000)!.stage).toEqual(MigrationStage.rolledBack)
    mover.tick(true, 20_000)
    await new Promise(resolve => setTimeout(resolve, 30))
    expect(standin.calls.get('/marigoldvalve/rows-tx')).toEqual(undefined)
  })

  it('run anew if the record is older than the order', () => {
    mover.takeReport(row('status', { state: 'rolled_back', to: 'v2' }, 0))
    mover.takeOrder(row('op', ORDER, 1), 0)
    expect(scheduler.migrations.getLatest('s', 0)!.stage).toEqual(MigrationStage.running)
  })

  // A report whose answer is lost has taken effect; a second writer must not undo another's end.
  it('are reported once more when the answer of the store was lost, and never over an end that was not read', async () => {
    mover.takeOrder(row('op', ORDER, 1), 0)
    standin.fault = StoreFault.lost
    mover.tick(true, 0)
    await until(() => state() === 'running')
    standin.fault = undefined
    standin.put('status', KEY, { state: 'rolled_back', to: 'v2' })
    await new Promise(resolve => setTimeout(resolve, 30))
    mover.tick(true, 500)
    await until(() => (standin.calls.get('/marigoldvalve/rows-tx') ?? 0) === 2)
    expect(state()).toEqual('rolled_back')
  })

  it('are due when the record says, for a host that started after the order', () => {
    mover.setStoreClock(1_000_000, 50_000)
    mover.takeOrder(row('op', ORDER, 1), 50_000)
    mover.takeReport(row('status', { state: 'running', to: 'v2', due_ms: 1_004_000 }, 6))
    expect(scheduler.migrations.getLatest('s', 50_000)!.dueAt).toEqual(54_000)
  })
})
