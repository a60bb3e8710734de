import { describe, it } from 'node:test'
import fc from 'fast-check'
import { type Answer, isClosed, type Step } from '../src/record/index.js'
import { runs } from './runs.js'
import { settle } from './time.js'
import { World } from './coordinators.js'

const KEY = 'acme/key'
const PRINT = 'print'
const HOSTS = 5

/** What the oracle remembers: every dispatch granted, and the attempts that "not run" was said of. */
class Oracle {
  readonly granted = new Set<string>()
  readonly barred = new Set<string>()
  private readonly asked = new Map<string, number>()
  private tick = 0

  opened (responseId: string): void {
    this.asked.set(responseId, this.tick++)
  }

  /** The first thing that must not be, if any was seen. */
  fault: string | undefined

  note (step: Step, answer: Answer, now: number): void {
    if (answer.ruling !== 'done') return
    if (step.step === 'bar' && isClosed(answer.record, now)) {
      for (const responseId of this.asked.keys()) this.barred.add(responseId)
      if (this.granted.size > 0) this.fault ??= '"not run" was said of a key that was dispatched'
    }
    if (step.step === 'begin') {
      const { responseId } = step.place
      if (this.barred.has(responseId)) this.fault ??= `${responseId} was granted after "not run" was said`
      this.granted.add(responseId)
      if (this.granted.size > 1) this.fault ??= `granted twice: ${[...this.granted].join(', ')}`
    }
  }
}

interface Model {
  /** The hosts that died, at most as many as a round allows. */
  dead: number
}

interface Real {
  readonly world: World
  readonly oracle: Oracle
  attempts: number
}

type Command = fc.AsyncCommand<Model, Real>

/** Chooses a host: low numbers stand for those that matter for the key, in their rank by the whole log. */
function host (real: Real, index: number): string {
  const ranked = real.world.latest.ranking.top(KEY, 4)
  return ranked[index] ?? [...real.world.hosts.keys()][index % real.world.hosts.size]!
}

/** Asks the host that is home in the view of another for a step. */
function ask (real: Real, asker: number, step: Step): void {
  const { world, oracle } = real
  const from = world.hosts.get(host(real, asker))!
  const homeId = from.view.holders(KEY)[0]
  const home = homeId === undefined ? undefined : world.hosts.get(homeId)
  if (home === undefined || home.isDead || from.isDead) return
  if (world.isTableUp) home.learn(from.view.revision)
  void home.home.take(step, world.now).then(answer => { oracle.note(step, answer, world.now) })
}

async function check (oracle: Oracle): Promise<void> {
  await settle()
  if (oracle.fault !== undefined) throw new Error(oracle.fault)
}

function command (
  name: string, run: (real: Real, model: Model) => void, allowed = (_: Model): boolean => true
): Command {
  return {
    check: model => allowed(model),
    run: async (model, real) => {
      real.world.pass(200)
      run(real, model)
      await check(real.oracle)
    },
    toString: () => name
  }
}

const index = fc.nat({ max: 9 })

const commands = [
  index.map(i => command(`attempt by ${i}`, real => {
    const attempt = ++real.attempts
    const responseId = `resp-${attempt}`
    real.oracle.opened(responseId)
    const { world } = real
    const from = world.hosts.get(host(real, i))!
    const homeId = from.view.holders(KEY)[0]
    const home = homeId === undefined ? undefined : world.hosts.get(homeId)
    if (home === undefined || home.isDead || from.isDead) return
    void home.home.take({ step: 'open', key: KEY, fingerprint: PRINT, arrived: world.now }, world.now).then(answer => {
      if (answer.ruling !== 'done') return
      const place = { server: `e${i}`, responseId, attempt: answer.record.opened }
      ask(real, i, { step: 'begin', key: KEY, fingerprint: PRINT, place })
    })
  })),
  index.map(i => command(`bar by ${i}`, real => ask(real, i, { step: 'bar', key: KEY, fingerprint: PRINT }))),
  index.map(i => command(`freeze ${i}`, real => real.world.hosts.get(host(real, i))!.freeze())),
  index.map(i => command(`wake ${i}`, real => real.world.hosts.get(host(real, i))!.wake())),
  index.map(i => command(`learn ${i}`, real => real.world.hosts.get(host(real, i))!.learn(real.world.revision))),
  index.map(i => command(`log failed ${i}`, real => real.world.fail(host(real, i)))),
  index.map(i => command(`kill ${i}`, (real, model) => {
    real.world.hosts.get(host(real, i))!.isDead = true
    real.world.fail(host(real, i))
    model.dead++
  }, model => model.dead < 3)),
  fc.constant(command('join ahead', real => real.world.joinAhead(KEY))),
  fc.constant(command('all learn', real => {
    for (const each of real.world.hosts.values()) if (!each.isFrozen) each.learn(real.world.revision)
  })),
  fc.constant(command('a minute passes', real => real.world.pass(60_000))),
  fc.constant(command('lose an answer', real => { real.world.toLose++ })),
  fc.boolean().map(isUp => command(`table ${isUp ? 'up' : 'down'}`, real => { real.world.isTableUp = isUp }))
]

describe('homes under failure', () => {
  it('grant at most one dispatch a key, and none after "not run" was said', async () => {
    await fc.assert(fc.asyncProperty(fc.commands(commands, { maxCommands: 40, size: 'max' }), async sequence => {
      const real: Real = { world: new World(HOSTS), oracle: new Oracle(), attempts: 0 }
      await fc.asyncModelRun(() => ({ model: { dead: 0 }, real }), sequence)
      for (const each of real.world.hosts.values()) each.wake()
      await check(real.oracle)
    }), runs(400))
  })
})
