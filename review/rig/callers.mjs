/** Requesters that keep a channel open, and what became of their requests. */
import { connect } from 'node:net'
import { requestText } from './config.mjs'
import { sleep } from './system.mjs'

/** Length of the complete answer at the beginning of a text; undefined if it is not complete yet. */
function answerLength (text) {
  const end = text.indexOf('\r\n\r\n')
  if (end === -1) return undefined
  const length = Number(/\r\ncontent-length: *(\d+)/i.exec(text.slice(0, end))?.[1] ?? 0)
  return text.length >= end + 4 + length ? end + 4 + length : undefined
}

/** Sends one request after the other on a kept channel, each after the answer to the one before. */
export class KeptCaller {
  /** Attempts whose channel ended without an answer. */
  unanswered = []
  answered = 0
  count = 0
  isStopped = false

  /**
   * @param journal - records what is sent and answered
   * @param name - prefix of the attempts' ids
   * @param hosts - the gateways, of which the first one that accepts the channel is used
   * @param path - path of the requests
   */
  constructor (journal, name, hosts, path) {
    Object.assign(this, { journal, name, hosts, path })
    this.ended = this.run()
  }

  async run () {
    for (let i = 0; !this.isStopped; i++) {
      await this.useChannel(this.hosts[i % this.hosts.length])
      await sleep(200)
    }
  }

  /** Uses one channel until it ends. */
  useChannel (host) {
    return new Promise(resolve => {
      const socket = connect(host.front, '127.0.0.1')
      let text = ''
      let attempt
      const send = () => {
        attempt = undefined
        if (this.isStopped) return socket.end()
        attempt = `${this.name}-${++this.count}`
        this.journal.note(`requester: sends ${attempt} to ${host.name}`)
        socket.write(requestText(attempt, `${this.path}${attempt}`))
      }
      socket.on('connect', send)
      socket.on('data', bytes => {
        text += bytes.toString('latin1')
        const length = answerLength(text)
        if (length === undefined) return
        this.journal.note(`requester: ${attempt} is answered ${text.slice(9, 12)}`)
        text = text.slice(length)
        this.answered++
        send()
      })
      socket.on('error', () => undefined)
      socket.on('close', () => {
        if (attempt !== undefined) {
          this.unanswered.push(attempt)
          this.journal.note(`requester: ${attempt} gets no answer, its channel ended`)
        }
        resolve()
      })
    })
  }

  stop () {
    this.isStopped = true
  }
}

/** Attempts that began to run at one of the servers and whose channel ended without an answer. */
export function lostAttempts (callers, servers) {
  const runs = new Set(servers.flatMap(server => server.runs))
  return callers.flatMap(({ unanswered }) => unanswered).filter(attempt => runs.has(attempt))
}
