/** LOST: an entry of another writer in the table of servers ends the processes that are to use it. */
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { KeptCaller, lostAttempts } from '../rig/callers.mjs'
import { CONFIG } from '../rig/config.mjs'
import { answer, ScriptedServer } from '../rig/server.mjs'
import { runCase, sleep, System, TROUBLE } from '../rig/system.mjs'

const HOSTS = 3
const CALLERS = 12

/** Requests on kept channels that a machine passed on and did not answer: more than this many break the rule. */
const LIMIT = 3

/** An entry whose `address` is no address: the port is none. */
const ENTRY_OF_ANOTHER_WRITER = {
  service: 'registry-link',
  address: '127.0.0.1:84160',
  zone: 'qld-a',
  version: 'v1',
  slots: 6,
  state: 'ready',
  cold_remaining_ms: 0,
  sequence: 1,
  born: 1
}

await runCase(dirname(fileURLToPath(import.meta.url)), async journal => {
  const system = await System.start(journal, { hosts: HOSTS, config: CONFIG, restarts: true })
  for (let i = 1; i <= 3; i++) {
    const server = await ScriptedServer.start(journal, `server-${i}`, (request, socket) => {
      setTimeout(() => socket.destroyed || socket.write(answer(request, 'done')), 300)
    })
    system.register(`i-${i}`, server, { service: 'registry-link', slots: 6 })
  }
  await system.waitUntilReady()
  const callers = []
  for (let i = 0; i < CALLERS; i++) {
    callers.push(new KeptCaller(journal, `r${i}`, [system.hosts[i % HOSTS]], '/lodge/'))
  }
  await sleep(3000)
  if (TROUBLE) {
    journal.note(`another writer: writes servers/i-other ${JSON.stringify(ENTRY_OF_ANOTHER_WRITER)}`)
    system.store.put('servers', 'i-other', ENTRY_OF_ANOTHER_WRITER)
  }
  await sleep(12000)
  for (const caller of callers) caller.stop()
  await sleep(1000)
  const lost = lostAttempts(callers, system.servers)
  const ends = system.hosts.map(({ name, ends }) => `${name} ${ends}`)
  journal.note(`processes that ended by themselves: ${ends.join(', ')}`)
  journal.note(`answered ${callers.reduce((sum, { answered }) => sum + answered, 0)}; passed on, run and not answered ` +
    `${lost.length}: ${lost.join(' ')}`)
  journal.note(`last words: ${system.lastWords()}`)
  await system.stop()
  return lost.length > LIMIT ? `LOST: ${lost.length} requests of kept channels, more than ${LIMIT}` : undefined
})
