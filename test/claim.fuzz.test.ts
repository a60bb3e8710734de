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
import { fuzzParameters } from './fuzzparameters.js'
import { flushPromises, ManualClock } from './time.js'

const KEY = 'acme/refund-1'
const FINGERPRINT = 'print'
const RETENTION_MS = 900_000
const REQUEST: ForwardedCall = { method: 'POST', path: '/refunds', headers: {}, body: Buffer.alloc(0), timeoutMs: 5_000 }

/** A simulated host. While it is frozen, its calls are held back until it resumes; once it is dead, forever. */
class TestHost {
  isFrozen = false
  isDead = false
  private resumeCallbacks: Array<() => void> = []

  /** Waits until the host is not frozen. Never resolves on a dead host. */
  waitUntilRunning (): Promise<void> {
    if (this.isDead) return new Promise(() => undefined)
    if (!this.isFrozen) return Promise.resolve()
    return new Promise(resolve => this.resumeCallbacks.push(resolve))
  }

  /** Resumes the host and sends the calls that were held back, unless it is dead. */
  resume (): void {
    this.isFrozen = false
    for (const callback of this.resumeCallbacks) if (!this.isDead) callback()
    this.resumeCallbacks = []
  }
}

/** The shared table, accessed from one host. */
class HostTable extends MemoryTable {
  constructor (private readonly host: TestHost, private readonly shared: MemoryTable) {
    super()
  }

  override get (address: RowKey): ResultAsync<Row | undefined, PlatformFailure> {
    return this.callTable(() => this.shared.get(address))
  }

  override put (row: Row, when: WriteCondition): ResultAsync<void, PlatformFailure> {
    return this.callTable(() => this.shared.put(row, when))
  }

  /** Sends a call once the host is running, and returns its result once the host is running. */
  private callTable<Value> (call: () => ResultAsync<Value, PlatformFailure>): ResultAsync<Value, PlatformFailure> {
    return ResultAsync.fromSafePromise(this.host.waitUntilRunning()).andThen(call)
      .andThen(value => ResultAsync.fromSafePromise<Value, PlatformFailure>(
        this.host.waitUntilRunning().then(() => value)))
      .orElse(failure => ResultAsync.fromSafePromise(this.host.waitUntilRunning()).andThen(() => errAsync(failure)))
  }
}

/** How the worker treats a call: answers it, executes it and breaks the connection, or refuses the connection. */
type WorkerBehaviour = 'answers' | 'breaks' | 'unsent'

interface Simulation {
  readonly clock: ManualClock
  readonly table: MemoryTable
  readonly hosts: TestHost[]
  workerBehaviour: WorkerBehaviour
  executions: number
  /** The first violation found, if any. */
  violation: string | undefined
  readonly attempts: Array<{ arrivedAt: number, isExecuted: boolean }>
  /** When "not run" was last reported. No attempt that arrived until then may be executed afterwards. */
  notRunReportedAt: number
}

/** Starts an attempt of the call on a host. */
function startAttempt (simulation: Simulation, host: TestHost): void {
  const attempt = { arrivedAt: simulation.clock.now(), isExecuted: false }
  simulation.attempts.push(attempt)
  const send = async (): Promise<Result<ServiceAnswer, ServiceFailure>> => {
    await host.waitUntilRunning()
    if (simulation.workerBehaviour === 'unsent') return err(new ServiceFailure({ code: 'unsent' }, 'refused'))
    simulation.executions++
    if (simulation.executions > 1) simulation.violation ??= 'executed twice'
    if (attempt.arrivedAt <= simulation.notRunReportedAt) simulation.violation ??= 'executed after "not run"'
    const hasAnswer = simulation.workerBehaviour === 'answers'
    await host.waitUntilRunning()
    if (!hasAnswer) return err(new ServiceFailure({ code: 'broken' }, 'broken'))
    return ok({ status: 200, contentType: 'text/plain', body: Buffer.from('done') })
  }
  const pool = new WorkerPool()
  pool.setWorkers([{ name: 'w1', address: 'http://w1' }])
  const claimStore = new ClaimStore(
    new HostTable(host, simulation.table), new MemoryObjectStore(), RETENTION_MS, simulation.clock)
  const executor = new AtMostOnceExecutor({ send } as unknown as ServiceClient, claimStore, () => 'member', simulation.clock)
  const call = { key: KEY, isMinted: false, fingerprint: FINGERPRINT, request: REQUEST, arrivedAt: attempt.arrivedAt }
  void executor.run(pool, call).then(async outcome => {
    await host.waitUntilRunning()
    checkOutcome(simulation, outcome)
  })
}

function checkOutcome (simulation: Simulation, outcome: CallOutcome): void {
  if (outcome.outcome === 'not-run') {
    if (simulation.executions > 0) simulation.violation ??= '"not run" was reported for a call that was executed'
    simulation.notRunReportedAt = simulation.clock.now()
  }
  if (outcome.outcome === 'answered' && simulation.executions === 0) simulation.violation ??= 'answered, not executed'
}

interface Command extends fc.AsyncCommand<object, Simulation> {}

function command (name: string, run: (simulation: Simulation) => void): Command {
  return {
    check: () => true,
    run: async (_, simulation) => {
      run(simulation)
      await flushPromises()
      if (simulation.violation !== undefined) throw new Error(simulation.violation)
    },
    toString: () => name
  }
}

const hostIndex = fc.nat({ max: 2 })

const commands = [
  hostIndex.map(i => command(`attempt on host ${i}`, simulation => startAttempt(simulation, simulation.hosts[i]!))),
  hostIndex.map(i => command(`freeze host ${i}`, simulation => { simulation.hosts[i]!.isFrozen = true })),
  hostIndex.map(i => command(`resume host ${i}`, simulation => simulation.hosts[i]!.resume())),
  hostIndex.map(i => command(`kill host ${i}`, simulation => {
    simulation.hosts[i]!.isDead = true
    simulation.hosts[i] = new TestHost()
  })),
  fc.constantFrom<WorkerBehaviour>('answers', 'breaks', 'unsent').map(behaviour =>
    command(`worker: ${behaviour}`, simulation => { simulation.workerBehaviour = behaviour })),
  fc.boolean().map(isDown => command(`table ${isDown ? 'down' : 'up'}`, simulation => {
    simulation.table.faults.isDown = isDown
  })),
  fc.boolean().map(isLossy => command(`table ${isLossy ? 'loses' : 'returns'} replies`, simulation => {
    simulation.table.faults.losesResponses = isLossy
  })),
  fc.constantFrom(100, 500, 3_000, 20_000).map(ms =>
    command(`advance by ${ms} ms`, simulation => simulation.clock.advance(ms)))
]

describe('claims under failures', () => {
  it('execute a call at most once, and never after "not run" was reported', async () => {
    await fc.assert(fc.asyncProperty(fc.commands(commands, { maxCommands: 40, size: 'max' }), async sequence => {
      const simulation: Simulation = {
        clock: new ManualClock(),
        table: new MemoryTable(),
        hosts: [new TestHost(), new TestHost(), new TestHost()],
        workerBehaviour: 'answers',
        executions: 0,
        violation: undefined,
        attempts: [],
        notRunReportedAt: -1
      }
      await fc.asyncModelRun(() => ({ model: {}, real: simulation }), sequence)
      for (const host of simulation.hosts) host.resume()
      await flushPromises()
      if (simulation.violation !== undefined) throw new Error(simulation.violation)
    }), fuzzParameters(300))
  })
})
