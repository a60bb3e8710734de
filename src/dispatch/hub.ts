import type { Clock } from '../base/index.js'
import { type Effect, Outcome, type Scheduler } from '../schedule/index.js'
import type { Ask } from './dispatch_pb.js'
import { fromPlace, replyFrame } from './frames.js'
import type { Gossip } from './gossip.js'
import type { Port, TakeReply } from './port.js'

const OUTCOMES: ReadonlySet<string> = new Set(Object.values(Outcome))

/** Stands between the scheduler of this process and the hosts that ask it, itself among them. */
export class Hub {
  private readonly takers = new Map<string, TakeReply>()

  /**
   * @param scheduler - decides
   * @param gossip - tells other hosts what they lack
   * @param clock - steady time
   * @param onHosts - told that a host came or went, before its first ask is taken
   */
  constructor (
    readonly scheduler: Scheduler,
    private readonly gossip: Gossip,
    private readonly clock: Clock,
    private readonly onHosts: () => void = () => undefined
  ) {}

  /**
   * Takes a host in. An earlier connection of the same host is replaced.
   *
   * @param host - the host's name
   * @param take - takes the replies
   * @returns where the host's asks go
   */
  connect (host: string, take: TakeReply): Port {
    this.disconnect(host)
    this.takers.set(host, take)
    this.onHosts()
    return { send: ask => { if (this.takers.get(host) === take) this.receive(host, ask) } }
  }

  /**
   * Forgets a host and its jobs.
   *
   * @param host - the host's name
   * @param take - only if its replies still go there; any if left out
   */
  disconnect (host: string, take?: TakeReply): void {
    const current = this.takers.get(host)
    if (current === undefined || (take !== undefined && current !== take)) return
    this.takers.delete(host)
    const prefix = jobId(host, '')
    this.scheduler.forget(id => id.startsWith(prefix))
    this.onHosts()
  }

  /** @returns the names of the hosts that are connected */
  get hosts (): string[] {
    return [...this.takers.keys()]
  }

  /** Tells all connected hosts what this one knows of the store. */
  announce (): void {
    for (const host of this.takers.keys()) {
      this.reply(host, 0, { case: 'pong', value: { standing: this.gossip.standing() } })
    }
  }

  /** Tells the hosts that ask this scheduler what it learned, for the one of them that follows it. */
  publishPaces (): void {
    const { paces } = this.scheduler.loads
    if (paces.length === 0) return
    for (const host of this.takers.keys()) this.reply(host, 0, { case: 'paces', value: { paces } })
  }

  /** Looks at waiting jobs again, since time has passed. */
  tick (): void {
    if (this.scheduler.waiting > 0) this.deliver(this.scheduler.tick(this.clock.now()))
  }

  private receive (host: string, ask: Ask): void {
    const now = this.clock.now()
    const id = jobId(host, String(ask.job))
    const { body } = ask
    switch (body.case) {
      case 'place': {
        const effects = this.scheduler.ask(fromPlace(id, body.value, now), now)
        this.deliver(effects)
        if (!effects.some(effect => effect.job === id)) this.reply(host, ask.job, { case: 'waiting', value: {} })
        break
      }
      case 'adopt':
        if (body.value.place === undefined) break
        this.scheduler.adopt(fromPlace(id, body.value.place, now), body.value.server, body.value.started, now)
        break
      case 'started':
        this.deliver(this.scheduler.started(id, body.value.server, now))
        break
      case 'ended': {
        const { server, outcome, stepMs } = body.value
        const known = OUTCOMES.has(outcome) ? outcome as Outcome : Outcome.cancelled
        this.deliver(this.scheduler.ended(id, server, known, stepMs > 0 ? stepMs : undefined, now))
        break
      }
      case 'withdraw':
        this.scheduler.withdraw(id, body.value.service, now)
        break
      case 'levels':
        this.scheduler.adoptLevels(body.value.levels, now)
        break
      case 'ping':
        this.reply(host, 0, { case: 'pong', value: { standing: this.gossip.standing() } })
        this.gossip.heard(body.value.standing, behind => this.reply(host, 0, { case: 'behind', value: behind }))
        break
      case 'behind':
        this.reply(host, 0, { case: 'news', value: this.gossip.answer(body.value) })
        break
      case 'news':
        this.gossip.take(body.value)
        break
    }
  }

  private deliver (effects: readonly Effect[]): void {
    for (const effect of effects) {
      const slash = effect.job.lastIndexOf('/')
      const host = effect.job.slice(0, slash)
      const job = Number(effect.job.slice(slash + 1))
      if (effect.kind === 'grant') {
        const { server, level } = effect
        this.reply(host, job, { case: 'grant', value: level === undefined ? { server } : { server, level } })
      } else {
        const { reason, retryAfterMs } = effect
        this.reply(host, job, { case: 'refused', value: { reason, retryAfterMs } })
      }
    }
  }

  private reply (host: string, job: number, body: Parameters<typeof replyFrame>[1]): void {
    this.takers.get(host)?.(replyFrame(job, body))
  }
}

function jobId (host: string, job: string): string {
  return `${host}/${job}`
}
