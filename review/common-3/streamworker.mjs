/**
 * A model worker as a process of its own: arguments are id, port (0 for a free one) and the number of events. Answers
 * each request with a stream that has neither a length nor chunks and ends with its channel.
 */
import { Worker } from './worker.mjs'

const [id, port, eventCount] = [process.argv[2], Number(process.argv[3]), Number(process.argv[4])]

/** Events that are made at once, as many as fill the buffers of a caller that does not read; the rest comes slowly. */
const FAST_EVENTS = 2_500
const FAST_PER_TURN = 100
const FAST_TURN_MS = 20
const SLOW_EVENT_MS = 50

const PADDING = 'x'.repeat(2_000)

const worker = new Worker(id, 'drafting-models', ({ socket, headerLines, id: attempt }) => {
  process.send({ run: attempt })
  socket.write(`HTTP/1.1 200 OK\r\n${headerLines}Content-Type: text/event-stream\r\n\r\n`)
  let made = 0
  const make = count => {
    for (let i = 0; i < count && made < eventCount; i++) socket.write(`id: ${++made}\ndata: ${PADDING}\n\n`)
    process.send({ made })
    if (made === eventCount) socket.end()
    else if (made < FAST_EVENTS) setTimeout(() => make(FAST_PER_TURN), FAST_TURN_MS)
    else setTimeout(() => make(1), SLOW_EVENT_MS)
  }
  make(FAST_PER_TURN)
})
await worker.listen('127.0.0.1', port)
process.send({ address: worker.address })
