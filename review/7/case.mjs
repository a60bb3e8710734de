import { call } from '../rig-2/caller.mjs'
import { hasTrouble, runCase } from '../rig-2/case.mjs'
import { answerHeaders, Server } from '../rig-2/server.mjs'
import { sleep, System } from '../rig-2/system.mjs'

/** The dose of `answer_lost` with `reset` in the site file: share of the workers, of their answers, and the time. */
const FAULTY_SHARE = 0.5
const RESET_SHARE = 0.05
const DURATION_MS = 4_000

const ROUTES = ['pay', 'look', 'check', 'draft']
const CALLERS = 40
const WORK_MS = 30

/** Both halves of an answer of the application service, and of one of a model worker. */
const HALVES = {
  calls: attempt => [`receipt of ${attempt}: 1 of 2, `, `2 of 2, end of ${attempt}\n`],
  model: attempt => [`id: 1\ndata: ${attempt} 1\n\nid: 2\ndata: ${attempt} 2\n\n`, `id: 3\ndata: ${attempt} 3, the end\n\n`]
}

/**
 * Answers without length or chunks. The head and the first half are sent a while apart. Then the rest follows and the
 * channel ends; or, as the disruption, the channel is reset right after the first half.
 */
async function answerWithoutLength (request, response, run, { service, isFaulty }) {
  const { socket } = response
  const [first, second] = HALVES[service](run.attempt)
  const headers = { ...answerHeaders(run), 'Content-Type': service === 'model' ? 'text/event-stream' : 'text/plain' }
  const fields = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`).join('')
  socket.write(`HTTP/1.1 200 OK\r\n${fields}\r\n`)
  await sleep(WORK_MS)
  socket.write(first)
  if (hasTrouble && isFaulty && Math.random() < RESET_SHARE) {
    run.wasReset = true
    socket.resetAndDestroy()
  } else socket.end(second)
}

async function keepCalling (address, index, end, results) {
  for (let count = 0; Date.now() < end; count++) {
    const name = ROUTES[(index + count) % ROUTES.length]
    const attempt = `${name}-${index}-${count}`
    const answer = await call(address, 'POST', `/${name}/1`, { attempt, body: 'fee=25' })
    results.push({ attempt, name, answer })
  }
}

/** Notes a result that isn't as it should be, and says which rule it breaks, if any. */
function check ({ attempt, name, answer }, runs, note) {
  const isCall = name === 'pay' || name === 'look'
  const whole = HALVES[isCall ? 'calls' : 'model'](attempt).join('')
  if (answer.status === 200 && answer.isComplete && answer.body === whole) return []
  note(`${attempt}: run ${runs.length} times, reset ${runs.filter(run => run.wasReset).length} times; answered ` +
    `${answer.status}, ${answer.isComplete ? 'complete' : 'cut off'}, ${JSON.stringify(answer.body)}`)
  if (answer.status !== 200 || !answer.isComplete) return []
  return [`${isCall ? 'MIXED' : 'MIXED and ORDER'}: ${attempt} got a 200 that ends in order, with half of the worker's body`]
}

await runCase(import.meta.url, async ({ note, own }) => {
  const system = own(await System.start({ hosts: 1 }))
  const servers = []
  for (const id of ['calls-1', 'calls-2', 'calls-3', 'calls-4', 'model-1', 'model-2', 'model-3', 'model-4']) {
    const server = own(await Server.start({ id, service: id.slice(0, 5), answer: answerWithoutLength }))
    server.isFaulty = Number(id.at(-1)) <= FAULTY_SHARE * 4
    server.register(system.store)
    servers.push(server)
  }
  await system.untilReady()
  await sleep(500)
  const results = []
  const end = Date.now() + DURATION_MS
  await Promise.all(Array.from({ length: CALLERS }, (_, index) => {
    return keepCalling(system.hosts[0].address, index, end, results)
  }))
  const runs = servers.flatMap(server => server.runs)
  note(`${results.length} requests; the workers reset ${runs.filter(run => run.wasReset).length} of ${runs.length} answers`)
  return results.flatMap(result => check(result, runs.filter(run => run.attempt === result.attempt), note))
})
