import { call } from '../rig-2/caller.mjs'
import { hasTrouble, runCase } from '../rig-2/case.mjs'
import { answerAfter, Server } from '../rig-2/server.mjs'
import { sleep, System } from '../rig-2/system.mjs'

/** The dose of `garble` with `extra late` in the site file: share of the workers, of their answers, and the time. */
const FAULTY_SHARE = 0.6
const EXTRA_SHARE = 0.03
const DURATION_MS = 5_000

const WORKERS = 5
const CALLERS = 30
const WORK_MS = 50

/** What a faulty worker sends after a complete answer, which belongs to no request: no Attempt-Id, no receipt. */
const EXTRA = 'HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 22\r\n\r\npage of somebody else\n'

/** Answers whole; the additional bytes of some answers arrive late, when the next answer of the channel is expected. */
function answerWithExtra (request, response, run, { isFaulty }) {
  const { socket } = response
  if (socket.owesExtra) {
    socket.write(EXTRA)
    run.cameAfterExtra = true
  }
  socket.owesExtra = hasTrouble && isFaulty && !socket.owesExtra && Math.random() < EXTRA_SHARE
  answerAfter(WORK_MS)(request, response, run)
}

async function keepCalling (address, index, end, results) {
  for (let count = 0; Date.now() < end; count++) {
    const name = (index + count) % 2 === 0 ? 'pay' : 'look'
    const attempt = `${name}-${index}-${count}`
    results.push({ attempt, answer: await call(address, 'POST', `/${name}/1`, { attempt, body: attempt }) })
  }
}

await runCase(import.meta.url, async ({ note, own }) => {
  const system = own(await System.start({ hosts: 1 }))
  const workers = []
  for (let index = 0; index < WORKERS; index++) {
    const worker = own(await Server.start({ id: `calls-${index}`, service: 'calls', answer: answerWithExtra }))
    worker.isFaulty = index < FAULTY_SHARE * WORKERS
    worker.register(system.store)
    workers.push(worker)
  }
  await system.untilReady()
  await sleep(500)
  const results = []
  const end = Date.now() + DURATION_MS
  await Promise.all(Array.from({ length: CALLERS }, (_, index) => {
    return keepCalling(system.hosts[0].address, index, end, results)
  }))
  const runs = workers.flatMap(worker => worker.runs)
  const extra = runs.filter(run => run.cameAfterExtra).length
  note(`${results.length} requests; after ${extra} of ${runs.length} answers of the workers came additional bytes`)
  const broken = []
  for (const { attempt, answer } of results) {
    const receipt = answer.headers?.['response-signature']
    if (answer.status !== 200) note(`${attempt}: answered ${answer.status}`)
    if (answer.status !== 200 || (receipt !== undefined && answer.body === `done ${attempt} ${attempt}`)) continue
    const ran = runs.filter(run => run.attempt === attempt)
    note(`${attempt}: run ${ran.length} times, ${ran.filter(run => run.isComplete).length} answered whole; the caller got ` +
      `200, receipt ${receipt}, ${JSON.stringify(answer.body)}`)
    broken.push(`MIXED: ${attempt} got a 200 without the worker's receipt, and bytes that belong to no request`)
  }
  return broken
})
