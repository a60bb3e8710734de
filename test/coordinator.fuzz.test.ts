import { describe, it } from 'node:test'
import fc from 'fast-check'
import { type CoordinatorReply, isFenceCurrent, type RecordOperation } from '../src/record/index.js'
import { fuzzParameters } from './fuzzparameters.js'
import { flushPromises } from './time.js'
import { TestCluster } from './coordinators.js'

const KEY = 'acme/key'
const FINGERPRINT = 'print'
const HOST_COUNT = 5

/** Checks replies against the dispatches granted so far and the attempts that were reported as not run. */
class Oracle {
  readonly granted = new Set<string>()
  readonly fenced = new Set<string>()
  private readonly startedAttempts = new Map<string, number>()
  private nextNumber = 0

  recordAttempt (responseId: string): void {
    this.startedAttempts.set(responseId, this.nextNumber++)
  }

  /** The first violation found, if any. */
  violation: string | undefined

  checkReply (operation: RecordOperation, reply: CoordinatorReply, now: number): void {
    if (reply.status !== 'done') return
    if (operation.kind === 'bar' && isFenceCurrent(reply.record, now)) {
      for (const responseId of this.startedAttempts.keys()) this.fenced.add(responseId)
      if (this.granted.size > 0) this.violation ??= '"not run" was reported for a key with a granted dispatch'
    }
    if (operation.kind === 'begin') {
      const { responseId } = operation.place
      if (this.fenced.has(responseId)) this.violation ??= `${responseId} was granted after "not run" was reported`
      this.granted.add(responseId)
      if (this.granted.size > 1) this.violation ??= `more than one dispatch granted: ${[...this.granted].join(', ')}`
    }
  }
}

interface Model {
  /** Number of hosts killed so far. The kill command allows no more than three in one sequence. */
  killedHosts: number
}

interface Real {
  readonly cluster: TestCluster
  readonly oracle: Oracle
  attempts: number
}

type Command = fc.AsyncCommand<Model, Real>

/**
 * Chooses a host. Low indexes select the first hosts of the key's ranking by the whole log: the coordinator, the other
 * replica and the hosts that follow them.
 */
function hostIdAt (real: Real, index: number): string {
  const ranked = real.cluster.latestView.ranking.top(KEY, 4)
  return ranked[index] ?? [...real.cluster.hosts.keys()][index % real.cluster.hosts.size]!
}

/** Sends an operation from one host to the host that is the coordinator in the sender's view. */
function sendOperation (real: Real, senderIndex: number, operation: RecordOperation): void {
  const { cluster, oracle } = real
  const sender = cluster.hosts.get(hostIdAt(real, senderIndex))!
  const coordinatorId = sender.view.replicas(KEY)[0]
  const target = coordinatorId === undefined ? undefined : cluster.hosts.get(coordinatorId)
  if (target === undefined || target.isDead || sender.isDead) return
  if (cluster.isTableUp) target.applyLog(sender.view.revision)
  void target.coordinator.execute(operation, cluster.now)
    .then(reply => { oracle.checkReply(operation, reply, cluster.now) })
}

async function check (oracle: Oracle): Promise<void> {
  await flushPromises()
  if (oracle.violation !== undefined) throw new Error(oracle.violation)
}

function command (
  name: string, run: (real: Real, model: Model) => void, isAllowed = (_: Model): boolean => true
): Command {
  return {
    check: model => isAllowed(model),
    run: async (model, real) => {
      real.cluster.advanceTime(200)
      run(real, model)
      await check(real.oracle)
    },
    toString: () => name
  }
}

const hostIndex = fc.nat({ max: 9 })

const commands = [
  hostIndex.map(i => command(`attempt from host ${i}`, real => {
    const attempt = ++real.attempts
    const responseId = `resp-${attempt}`
    real.oracle.recordAttempt(responseId)
    const { cluster } = real
    const sender = cluster.hosts.get(hostIdAt(real, i))!
    const coordinatorId = sender.view.replicas(KEY)[0]
    const target = coordinatorId === undefined ? undefined : cluster.hosts.get(coordinatorId)
    if (target === undefined || target.isDead || sender.isDead) return
    void target.coordinator.execute(
      { kind: 'open', key: KEY, fingerprint: FINGERPRINT, arrived: cluster.now }, cluster.now
    ).then(reply => {
      if (reply.status !== 'done') return
      const location = { server: `e${i}`, responseId, attempt: reply.record.opened }
      sendOperation(real, i, { kind: 'begin', key: KEY, fingerprint: FINGERPRINT, place: location })
    })
  })),
  hostIndex.map(i => command(`fence from host ${i}`, real =>
    sendOperation(real, i, { kind: 'bar', key: KEY, fingerprint: FINGERPRINT }))),
  hostIndex.map(i => command(`freeze host ${i}`, real => real.cluster.hosts.get(hostIdAt(real, i))!.freeze())),
  hostIndex.map(i => command(`resume host ${i}`, real => real.cluster.hosts.get(hostIdAt(real, i))!.resume())),
  hostIndex.map(i => command(`apply the log on host ${i}`, real =>
    real.cluster.hosts.get(hostIdAt(real, i))!.applyLog(real.cluster.revision))),
  hostIndex.map(i => command(`log host ${i} as failed`, real => real.cluster.logFailure(hostIdAt(real, i)))),
  hostIndex.map(i => command(`kill host ${i}`, (real, model) => {
    real.cluster.hosts.get(hostIdAt(real, i))!.isDead = true
    real.cluster.logFailure(hostIdAt(real, i))
    model.killedHosts++
  }, model => model.killedHosts < 3)),
  fc.constant(command('join a host as coordinator', real => real.cluster.joinAsCoordinator(KEY))),
  fc.constant(command('apply the log on all running hosts', real => {
    for (const host of real.cluster.hosts.values()) if (!host.isFrozen) host.applyLog(real.cluster.revision)
  })),
  fc.constant(command('advance by 60 s', real => real.cluster.advanceTime(60_000))),
  fc.constant(command('lose one reply', real => { real.cluster.repliesToLose++ })),
  fc.boolean().map(isUp => command(`table ${isUp ? 'up' : 'down'}`, real => { real.cluster.isTableUp = isUp }))
]

describe('key coordinators under failures', () => {
  it('grant at most one dispatch per key, and none after "not run" was reported', async () => {
    await fc.assert(fc.asyncProperty(fc.commands(commands, { maxCommands: 40, size: 'max' }), async sequence => {
      const real: Real = { cluster: new TestCluster(HOST_COUNT), oracle: new Oracle(), attempts: 0 }
      await fc.asyncModelRun(() => ({ model: { killedHosts: 0 }, real }), sequence)
      for (const host of real.cluster.hosts.values()) host.resume()
      await check(real.oracle)
    }), fuzzParameters(400))
  })
})
