/** BUDGET: after a planned stop of one machine, a request that crashes workers goes to workers again and again. */
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { CONFIG, requestText } from '../rig/config.mjs'
import { answer, ScriptedServer } from '../rig/server.mjs'
import { exchange, runCase, sleep, System, TROUBLE } from '../rig/system.mjs'

const HOSTS = 3
const WORKERS = 8

/** Retries that may reach workers later than `contact_ms` after the third crash. */
const LIMIT = 3
const CONTACT_MS = 3000

/** A worker that has crashed is back after this time, and its entry is removed after three status report intervals. */
const BACK_MS = 3000
const EXPIRY_MS = 3600

/** Interval at which the request that crashes workers comes again, and for how long it comes, in milliseconds. */
const AGAIN_MS = 700
const LENGTH_MS = 45_000

/** Workers that crash when they begin to run one request, and are back under a new id after some seconds. */
class CrashingWorkers {
  crashedAt = []
  boots = 0

  constructor (journal, system) {
    Object.assign(this, { journal, system })
  }

  async boot (name, port = 0) {
    const id = `i-${++this.boots}`
    const worker = await ScriptedServer.start(this.journal, `${name} ${id}`, (request, socket) => {
      if (request.target.endsWith('/crashes')) this.crash(name, id, worker)
      else setTimeout(() => socket.destroyed || socket.write(answer(request, 'done')), 60)
    }, port)
    this.system.register(id, worker, { service: 'registry-link', slots: 6 })
  }

  crash (name, id, worker) {
    this.crashedAt.push(performance.now())
    this.journal.note(`${name} ${id}: crashes, the ${this.crashedAt.length}. crash`)
    worker.server.close()
    for (const socket of worker.sockets) socket.resetAndDestroy()
    setTimeout(() => this.system.store.put('servers', id, undefined), EXPIRY_MS)
    setTimeout(() => { void this.boot(name, Number(worker.address.split(':')[1])) }, BACK_MS)
  }

  /** Crashes later than `contact_ms` after the third. */
  get late () {
    return this.crashedAt.slice(3).filter(at => at > this.crashedAt[2] + CONTACT_MS).length
  }
}

/** Name of the host whose scheduler a host uses, as it logs it. */
function schedulerOf ({ output }) {
  return [...output.matchAll(/"scheduler-chosen","scheduler":"([^"]*)"/g)].at(-1)?.[1]
}

/** Stops a host as planned, and starts it again when it has ended. */
async function restart (journal, system, host) {
  journal.note(`platform: SIGTERM to ${host.name}`)
  host.child.kill('SIGTERM')
  while (host.exit === undefined) await sleep(50)
  await sleep(500)
  system.startProcess(host)
}

/** Sends sound requests, so that the workers have other work. */
function sendSound (hosts) {
  let count = 0
  return setInterval(() => {
    const attempt = `s-${++count}`
    const options = { headers: ['Connection: close'], deadlineMs: 4000 }
    exchange(hosts[count % hosts.length].front, requestText(attempt, `/lodge/${attempt}`, options))
  }, 100)
}

await runCase(dirname(fileURLToPath(import.meta.url)), async journal => {
  const system = await System.start(journal, { hosts: HOSTS, config: CONFIG })
  const workers = new CrashingWorkers(journal, system)
  for (let i = 1; i <= WORKERS; i++) await workers.boot(`worker-${i}`)
  await system.waitUntilReady()
  await sleep(1000)
  const scheduler = system.hosts.find(host => host.name === schedulerOf(host))
  const others = system.hosts.filter(host => host !== scheduler)
  journal.note(`all hosts use the scheduler of ${scheduler.name}; requesters use the others`)
  const sound = sendSound(others)
  const endAt = performance.now() + LENGTH_MS
  let isStopped = false
  for (let i = 1; performance.now() < endAt; i++) {
    const host = others[i % others.length]
    const options = { headers: ['Connection: close'], deadlineMs: 4000 }
    const { text } = await exchange(host.front, requestText(`c-${i}`, '/lodge/crashes', options)).ended
    journal.note(`requester: c-${i} at ${host.name} is answered ${text.slice(9, 12)}`)
    if (TROUBLE && !isStopped && performance.now() > workers.crashedAt[2] + CONTACT_MS + 1000) {
      isStopped = true
      void restart(journal, system, scheduler)
    }
    await sleep(AGAIN_MS)
  }
  clearInterval(sound)
  const { late, crashedAt } = workers
  journal.note(`crashes: ${crashedAt.length}; later than ${CONTACT_MS} ms after the third: ${late}`)
  await system.stop()
  return late > LIMIT ? `BUDGET: ${late} retries, more than ${LIMIT}` : undefined
})
