import { describe, it } from 'node:test'
import { errAsync, ResultAsync, type Result, err, ok } from 'neverthrow'
import fc from 'fast-check'
import { ClaimStore } from '../src/claim/index.js'
import {
  MemoryObjectStore, MemoryTable, PlatformFailure, type Row, type RowKey, type WriteCondition
} from '../src/platform/index.js'
import {
  AtMostOnceExecutor, type CallOutcome, type ForwardedCall, type ServiceAnswer, type ServiceClient, ServiceFailure,
  WorkerPool
} from '../src/service/index.js'
import { runs } from './runs.js'
import { flushPromises, ManualClock } from './time.js'

const KEY = 'acme/refund-1'
const PRINT = 'print'
const RETENTION_MS = 900_000
const FORWARD: ForwardedCall = { method: 'POST', path: '/refunds', headers: {}, body: Buffer.alloc(0), timeoutMs: 5_000 }

/** A host in a test of claims. Frozen, its calls go out only once it wakes; dead, never. */
class TestHost {
  isFrozen = false
  isDead = false
  private waiting: Array<() => void> = []

  go (): Promise<void> {
    if (this.isDead) return new Promise(() => undefined)
    if (!this.isFrozen) return Promise.resolve()
    return new Promise(resolve => this.waiting.push(resolve))
  }

  wake (): void {
    this.isFrozen = false
    for (const go of this.waiting) if (!this.isDead) go()
    this.waiting = []
  }
}

/** The table as one host reaches it. */
class ReachedTable extends MemoryTable {
  constructor (private readonly host: TestHost, private readonly shared: MemoryTable) {
    super()
  }

  override get (address: RowKey): ResultAsync<Row | undefined, PlatformFailure> {
    return this.reach(() => this.shared.get(address))
  }

  override put (row: Row, when: WriteCondition): ResultAsync<void, PlatformFailure> {
    return this.reach(() => this.shared.put(row, when))
  }

  /** The call goes out when the host runs, and its answer is read when the host runs. */
  private reach<Value> (call: () => ResultAsync<Value, PlatformFailure>): ResultAsync<Value, PlatformFailure> {
    return ResultAsync.fromSafePromise(this.host.go()).andThen(call)
      .andThen(value => ResultAsync.fromSafePromise<Value, PlatformFailure>(this.host.go().then(() => value)))
      .orElse(failure => ResultAsync.fromSafePromise(this.host.go()).andThen(() => errAsync(failure)))
  }
}

type Manner = 'answers' | 'breaks' | 'unsent'

interface World {
  readonly clock: ManualClock
  readonly table: MemoryTable
  readonly hosts: TestHost[]
  manner: Manner
  executions: number
  /** The first thing that must not be, if any was seen. */
  fault: string | undefined
  readonly attempts: Array<{ arrived: number, executed: boolean }>
  /** When "not run" was last said: no attempt that arrived until then may run. */
  notRunSaidAt: number
}

function attempt (world: World, host: TestHost): void {
  const mine = { arrived: world.clock.now(), executed: false }
  world.attempts.push(mine)
  const send = async (): Promise<Result<ServiceAnswer, ServiceFailure>> => {
    await host.go()
    if (world.manner === 'unsent') return err(new ServiceFailure({ code: 'unsent' }, 'refused'))
    world.executions++
    if (world.executions > 1) world.fault ??= 'executed twice'
    if (mine.arrived <= world.notRunSaidAt) world.fault ??= 'executed after "not run" was said'
    const answers = world.manner === 'answers'
    await host.go()
    if (!answers) return err(new ServiceFailure({ code: 'broken' }, 'broken'))
    return ok({ status: 200, contentType: 'text/plain', body: Buffer.from('done') })
  }
  const pool = new WorkerPool()
  pool.setWorkers([{ name: 'w1', address: 'http://w1' }])
  const claims = new ClaimStore(new ReachedTable(host, world.table), new MemoryObjectStore(), RETENTION_MS, world.clock)
  const once = new AtMostOnceExecutor({ send } as unknown as ServiceClient, claims, () => 'member', world.clock)
  const call = { key: KEY, isMinted: false, fingerprint: PRINT, request: FORWARD, arrivedAt: mine.arrived }
  void once.run(pool, call).then(async outcome => {
    await host.go()
    judge(world, outcome)
  })
}

function judge (world: World, outcome: CallOutcome): void {
  if (outcome.outcome === 'not-run') {
    if (world.executions > 0) world.fault ??= '"not run" was said of a call that was executed'
    world.notRunSaidAt = world.clock.now()
  }
  if (outcome.outcome === 'answered' && world.executions === 0) world.fault ??= 'answered, but not executed'
}

interface Command extends fc.AsyncCommand<object, World> {}

function command (name: string, run: (world: World) => void): Command {
  return {
    check: () => true,
    run: async (_, world) => {
      run(world)
      await flushPromises()
      if (world.fault !== undefined) throw new Error(world.fault)
    },
    toString: () => name
  }
}

const index = fc.nat({ max: 2 })

const commands = [
  index.map(i => command(`attempt on ${i}`, world => attempt(world, world.hosts[i]!))),
  index.map(i => command(`freeze ${i}`, world => { world.hosts[i]!.isFrozen = true })),
  index.map(i => command(`wake ${i}`, world => world.hosts[i]!.wake())),
  index.map(i => command(`kill ${i}`, world => {
    world.hosts[i]!.isDead = true
    world.hosts[i] = new TestHost()
  })),
  fc.constantFrom<Manner>('answers', 'breaks', 'unsent').map(manner =>
    command(`worker ${manner}`, world => { world.manner = manner })),
  fc.boolean().map(isDown => command(`table ${isDown ? 'down' : 'up'}`, world => { world.table.faults.isDown = isDown })),
  fc.boolean().map(loses => command(`table ${loses ? 'loses' : 'gives'} answers`, world => {
    world.table.faults.losesResponses = loses
  })),
  fc.constantFrom(100, 500, 3_000, 20_000).map(ms => command(`${ms} ms pass`, world => world.clock.advance(ms)))
]

describe('claims under failure', () => {
  it('execute a call at most once, and never after "not run" was said', async () => {
    await fc.assert(fc.asyncProperty(fc.commands(commands, { maxCommands: 40, size: 'max' }), async sequence => {
      const world: World = {
        clock: new ManualClock(),
        table: new MemoryTable(),
        hosts: [new TestHost(), new TestHost(), new TestHost()],
        manner: 'answers',
        executions: 0,
        fault: undefined,
        attempts: [],
        notRunSaidAt: -1
      }
      await fc.asyncModelRun(() => ({ model: {}, real: world }), sequence)
      for (const host of world.hosts) host.wake()
      await flushPromises()
      if (world.fault !== undefined) throw new Error(world.fault)
    }), runs(300))
  })
})
