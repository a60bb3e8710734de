import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { type Sequence, type Speed, textOf, tokenAt } from './batch.js'
import { type Faults, healthy } from './faults.js'
import { portOf, sendJson, serveAt } from './http.js'

interface CreateBody {
  request_id?: string
  model?: string
  instructions?: string | null
  input?: unknown
  stream?: boolean
  max_output_tokens?: number
  metadata?: { nonce?: string }
}

const CHARS_PER_TOKEN = 4
const DEFAULT_TOKENS = 50
const LOAD_LAG_MS = 2_000
const GREATEST_KEPT = 20_000

function count (text: string): number {
  return Math.ceil(text.length / CHARS_PER_TOKEN)
}

/** A small engine: continuous batching, a prefix cache, streams that can be read again, and faults. */
export class Engine {
  readonly faults: Faults = healthy()
  private readonly sequences = new Map<string, Sequence>()
  private readonly waiting: Sequence[] = []
  private readonly running: Sequence[] = []
  private readonly cache = new Map<string, number>()
  /** How often each nonce was run. */
  private readonly runs = new Map<string, number>()
  private tokens = 0
  private load = { waiting: 0, running: 0 }
  private stepping = false
  private server: Server | undefined
  private readonly loadTimer: NodeJS.Timeout

  /** @param speed - how fast it is */
  constructor (private readonly speed: Speed) {
    this.loadTimer = setInterval(() => {
      this.load = { waiting: this.waiting.length, running: this.running.length }
    }, LOAD_LAG_MS)
  }

  /**
   * @param port - the port; 0 takes any free one
   * @returns the port that is listened at
   */
  async listen (port: number): Promise<number> {
    this.server = await serveAt(port, (request, response, body) => this.handle(request, response, body))
    return portOf(this.server)
  }

  /** Stops at once. */
  close (): void {
    clearInterval(this.loadTimer)
    this.server?.close()
    this.server?.closeAllConnections()
  }

  private handle (request: IncomingMessage, response: ServerResponse, body: string): void {
    const url = new URL(request.url ?? '/', 'http://engine')
    if (url.pathname === '/control') return this.control(response, body)
    if (url.pathname === '/ran') return sendJson(response, 200, this.report())
    if (this.faults.frozen) return
    if (url.pathname === '/load') return sendJson(response, 200, this.load)
    if (url.pathname === '/v1/responses' && request.method === 'POST') return this.create(response, body)
    const match = /^\/v1\/responses\/([^/]+)(\/cancel)?$/.exec(url.pathname)
    const sequence = match === null ? undefined : this.sequences.get(decodeURIComponent(match[1]!))
    if (sequence === undefined) return sendJson(response, 404, { error: { message: 'no such response' } })
    if (match![2] !== undefined) {
      sequence.cancelled = true
      return sendJson(response, 200, { id: sequence.id, status: 'cancelled' })
    }
    this.stream(response, sequence, Number(url.searchParams.get('starting_after') ?? -1) + 1)
  }

  private control (response: ServerResponse, body: string): void {
    Object.assign(this.faults, JSON.parse(body === '' ? '{}' : body))
    sendJson(response, 200, this.faults)
  }

  private report (): object {
    return { runs: Object.fromEntries(this.runs), tokens: this.tokens, sequences: this.sequences.size }
  }

  private create (response: ServerResponse, body: string): void {
    if (this.faults.refuse) return sendJson(response, 503, { error: { message: 'refused' } })
    const request = JSON.parse(body) as CreateBody
    const instructions = request.instructions ?? ''
    const input = typeof request.input === 'string' ? request.input : JSON.stringify(request.input)
    if (this.faults.poison !== '' && input.includes(this.faults.poison)) process.exit(1)
    const id = request.request_id ?? `resp_${this.sequences.size}`
    const sequence: Sequence = {
      id,
      nonce: request.metadata?.nonce ?? id,
      prompt: count(instructions) + count(input),
      prefix: instructions,
      prefixTokens: count(instructions),
      length: request.max_output_tokens ?? DEFAULT_TOKENS,
      produced: 0,
      cancelled: false,
      events: [],
      done: false,
      watchers: new Set()
    }
    this.sequences.set(id, sequence)
    this.runs.set(sequence.nonce, (this.runs.get(sequence.nonce) ?? 0) + 1)
    this.waiting.push(sequence)
    this.emit(sequence, { type: 'response.created', response: { id, status: 'in_progress', usage: null } })
    this.emit(sequence, { type: 'response.output_item.added', output_index: 0, item: { id: `msg_${id}`, type: 'message' } })
    this.stream(response, sequence, 0)
    if (!this.stepping) void this.step()
  }

  private emit (sequence: Sequence, event: { type: string } & Record<string, unknown>): void {
    const payload = { ...event, sequence_number: sequence.events.length }
    sequence.events.push(`event: ${event.type}\ndata: ${JSON.stringify(payload)}\n\n`)
    for (const watcher of sequence.watchers) watcher()
  }

  private stream (response: ServerResponse, sequence: Sequence, from: number): void {
    response.writeHead(200, { 'content-type': 'text/event-stream' })
    let at = from
    let sent = 0
    const pump = (): void => {
      if (this.faults.frozen) return
      const { truncateAfter, dropEvery } = this.faults
      const room = dropEvery > 0 ? dropEvery - sent : Infinity
      const fresh = sequence.events.slice(at, at + room)
      at += fresh.length
      sent += fresh.length
      if (truncateAfter > 0 && at > truncateAfter) return finish()
      if (fresh.length > 0) response.write(this.disturb(sequence, fresh).join(''))
      if (dropEvery > 0 && sent >= dropEvery) return cut()
      if (sequence.done) finish()
    }
    const finish = (): void => {
      sequence.watchers.delete(pump)
      response.end()
    }
    const cut = (): void => {
      sequence.watchers.delete(pump)
      setImmediate(() => response.destroy())
    }
    sequence.watchers.add(pump)
    response.on('close', () => sequence.watchers.delete(pump))
    pump()
  }

  private disturb (sequence: Sequence, events: string[]): string[] {
    const { reorder, double, swap } = this.faults
    let sent = events
    if (reorder) sent = [...sent].reverse()
    if (double) sent = sent.flatMap(event => [event, event])
    if (swap) {
      const other = [...this.sequences.values()].find(each => each.id !== sequence.id)
      if (other !== undefined) sent = sent.map(event => event.replaceAll(sequence.id, other.id))
    }
    return sent
  }

  /** One step of the batch: admits, reads prompts, gives one token to each sequence. */
  private async step (): Promise<void> {
    this.stepping = true
    while (this.waiting.length + this.running.length > 0) {
      let ms = 0
      while (this.running.length < this.speed.batch && this.waiting.length > 0) ms += this.admit(this.waiting.shift()!)
      ms += this.speed.stepMs + this.speed.stepPerSequenceMs * (this.running.length - 1)
      await new Promise(resolve => setTimeout(resolve, ms * this.faults.slow))
      if (!this.faults.frozen) for (const sequence of [...this.running]) this.advance(sequence)
    }
    this.stepping = false
  }

  /** @returns the time that reading the prompt takes, in milliseconds */
  private admit (sequence: Sequence): number {
    this.running.push(sequence)
    const cached = this.cache.get(sequence.prefix) ?? 0
    this.cache.delete(sequence.prefix)
    this.cache.set(sequence.prefix, sequence.prefixTokens)
    if (this.cache.size > this.speed.prefixes) this.cache.delete(this.cache.keys().next().value!)
    return (sequence.prompt - cached) / this.speed.prefillPerMs
  }

  private advance (sequence: Sequence): void {
    const { id, length } = sequence
    if (sequence.cancelled) return this.conclude(sequence, 'response.incomplete', 'cancelled')
    const delta = tokenAt(id, sequence.produced)
    this.emit(sequence, { type: 'response.output_text.delta', item_id: `msg_${id}`, output_index: 0, delta })
    sequence.produced++
    this.tokens++
    if (sequence.produced >= length) this.conclude(sequence, 'response.completed', 'completed')
  }

  private conclude (sequence: Sequence, type: string, status: string): void {
    const { id, produced } = sequence
    const content = [{ type: 'output_text', text: textOf(id, produced) }]
    const output = [{ id: `msg_${id}`, type: 'message', role: 'assistant', content }]
    const usage = { input_tokens: sequence.prompt, output_tokens: produced }
    sequence.done = true
    this.emit(sequence, { type, response: { id, object: 'response', status, output, usage } })
    this.running.splice(this.running.indexOf(sequence), 1)
    if (this.sequences.size > GREATEST_KEPT) this.sequences.delete(this.sequences.keys().next().value!)
  }
}
