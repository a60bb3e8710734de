import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { type EngineParameters, generateText, generateTokenAt, type Sequence } from './sequence.js'
import { createDefaultFaults, type EngineFaults } from './faults.js'
import { listenOnLoopback, portOf, sendJson } from './http.js'

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
const DEFAULT_MAX_OUTPUT_TOKENS = 50
/** Interval at which the figures of `/load` are refreshed; in between, they are out of date. */
const LOAD_REFRESH_INTERVAL_MS = 2_000
/** Beyond this number, each response that ends evicts the oldest one. */
const MAX_RETAINED_SEQUENCES = 20_000

function countTokens (text: string): number {
  return Math.ceil(text.length / CHARS_PER_TOKEN)
}

/**
 * Stand-in for an engine, with continuous batching, a prefix cache, streams that can be resumed, and fault injection.
 * Its answers are deterministic, so that tests can recompute them.
 */
export class Engine {
  readonly faults: EngineFaults = createDefaultFaults()
  private readonly sequences = new Map<string, Sequence>()
  private readonly queue: Sequence[] = []
  private readonly running: Sequence[] = []
  private readonly prefixCache = new Map<string, number>()
  /** Number of executions by nonce. */
  private readonly runsByNonce = new Map<string, number>()
  private generatedTokenCount = 0
  private load = { waiting: 0, running: 0 }
  private isRunningBatch = false
  private server: Server | undefined
  private readonly loadRefreshTimer: NodeJS.Timeout

  /** @param parameters - speed and capacity */
  constructor (private readonly parameters: EngineParameters) {
    this.loadRefreshTimer = setInterval(() => {
      this.load = { waiting: this.queue.length, running: this.running.length }
    }, LOAD_REFRESH_INTERVAL_MS)
  }

  /**
   * Starts listening on loopback.
   *
   * @param port - the port; 0 takes any free one
   * @returns the port it listens on
   */
  async listen (port: number): Promise<number> {
    this.server = await listenOnLoopback(port, (request, response, body) => this.handle(request, response, body))
    return portOf(this.server)
  }

  /** Stops listening and closes all connections without waiting for running responses. */
  close (): void {
    clearInterval(this.loadRefreshTimer)
    this.server?.close()
    this.server?.closeAllConnections()
  }

  private handle (request: IncomingMessage, response: ServerResponse, body: string): void {
    const url = new URL(request.url ?? '/', 'http://engine')
    if (url.pathname === '/control') return this.handleControl(response, body)
    if (url.pathname === '/ran') return sendJson(response, 200, this.buildRunReport())
    if (this.faults.frozen) return
    if (url.pathname === '/load') return sendJson(response, 200, this.load)
    if (url.pathname === '/v1/responses' && request.method === 'POST') return this.createResponse(response, body)
    const match = /^\/v1\/responses\/([^/]+)(\/cancel)?$/.exec(url.pathname)
    const sequence = match === null ? undefined : this.sequences.get(decodeURIComponent(match[1]!))
    if (sequence === undefined) return sendJson(response, 404, { error: { message: 'no such response' } })
    if (match![2] !== undefined) {
      sequence.isCancelled = true
      return sendJson(response, 200, { id: sequence.id, status: 'cancelled' })
    }
    this.streamEvents(response, sequence, Number(url.searchParams.get('starting_after') ?? -1) + 1)
  }

  private handleControl (response: ServerResponse, body: string): void {
    Object.assign(this.faults, JSON.parse(body === '' ? '{}' : body))
    sendJson(response, 200, this.faults)
  }

  private buildRunReport (): object {
    return {
      runs: Object.fromEntries(this.runsByNonce),
      tokens: this.generatedTokenCount,
      sequences: this.sequences.size
    }
  }

  private createResponse (response: ServerResponse, body: string): void {
    if (this.faults.refuse) return sendJson(response, 503, { error: { message: 'refused' } })
    const request = JSON.parse(body) as CreateBody
    const instructions = request.instructions ?? ''
    const input = typeof request.input === 'string' ? request.input : JSON.stringify(request.input)
    if (this.faults.poison !== '' && input.includes(this.faults.poison)) process.exit(1)
    const id = request.request_id ?? `resp_${this.sequences.size}`
    const sequence: Sequence = {
      id,
      nonce: request.metadata?.nonce ?? id,
      promptTokens: countTokens(instructions) + countTokens(input),
      prefix: instructions,
      prefixTokens: countTokens(instructions),
      outputTokens: request.max_output_tokens ?? DEFAULT_MAX_OUTPUT_TOKENS,
      generatedTokens: 0,
      isCancelled: false,
      events: [],
      isDone: false,
      subscribers: new Set()
    }
    this.sequences.set(id, sequence)
    this.runsByNonce.set(sequence.nonce, (this.runsByNonce.get(sequence.nonce) ?? 0) + 1)
    this.queue.push(sequence)
    this.emit(sequence, { type: 'response.created', response: { id, status: 'in_progress', usage: null } })
    this.emit(sequence, { type: 'response.output_item.added', output_index: 0, item: { id: `msg_${id}`, type: 'message' } })
    this.streamEvents(response, sequence, 0)
    if (!this.isRunningBatch) void this.runBatch()
  }

  private emit (sequence: Sequence, event: { type: string } & Record<string, unknown>): void {
    const payload = { ...event, sequence_number: sequence.events.length }
    sequence.events.push(`event: ${event.type}\ndata: ${JSON.stringify(payload)}\n\n`)
    for (const notify of sequence.subscribers) notify()
  }

  /** Sends the events of a sequence from an index on, and new ones as they are emitted. */
  private streamEvents (response: ServerResponse, sequence: Sequence, firstIndex: number): void {
    response.writeHead(200, { 'content-type': 'text/event-stream' })
    let nextIndex = firstIndex
    let sentCount = 0
    const sendPending = (): void => {
      if (this.faults.frozen) return
      const { truncateAfter, dropEvery } = this.faults
      const remaining = dropEvery > 0 ? dropEvery - sentCount : Infinity
      const pending = sequence.events.slice(nextIndex, nextIndex + remaining)
      nextIndex += pending.length
      sentCount += pending.length
      if (truncateAfter > 0 && nextIndex > truncateAfter) return finish()
      if (pending.length > 0) response.write(this.applyStreamFaults(sequence, pending).join(''))
      if (dropEvery > 0 && sentCount >= dropEvery) return disconnect()
      if (sequence.isDone) finish()
    }
    const finish = (): void => {
      sequence.subscribers.delete(sendPending)
      response.end()
    }
    const disconnect = (): void => {
      sequence.subscribers.delete(sendPending)
      setImmediate(() => response.destroy())
    }
    sequence.subscribers.add(sendPending)
    response.on('close', () => sequence.subscribers.delete(sendPending))
    sendPending()
  }

  /** Returns the events as the active faults reorder, duplicate or replace them. */
  private applyStreamFaults (sequence: Sequence, events: string[]): string[] {
    const { reorder, double, swap } = this.faults
    let result = events
    if (reorder) result = [...result].reverse()
    if (double) result = result.flatMap(event => [event, event])
    if (swap) {
      const other = [...this.sequences.values()].find(each => each.id !== sequence.id)
      if (other !== undefined) result = result.map(event => event.replaceAll(sequence.id, other.id))
    }
    return result
  }

  /** Runs batch steps until no sequence is left; each step admits queued sequences and decodes one token of each. */
  private async runBatch (): Promise<void> {
    this.isRunningBatch = true
    while (this.queue.length + this.running.length > 0) {
      let durationMs = 0
      while (
        this.running.length < this.parameters.maxBatchSize && this.queue.length > 0
      ) durationMs += this.admit(this.queue.shift()!)
      durationMs += this.parameters.stepMs + this.parameters.stepPerSequenceMs * (this.running.length - 1)
      await new Promise(resolve => setTimeout(resolve, durationMs * this.faults.slow))
      if (!this.faults.frozen) for (const sequence of [...this.running]) this.generateToken(sequence)
    }
    this.isRunningBatch = false
  }

  /**
   * Moves a queued sequence into the batch and caches its prefix.
   *
   * @returns the prefill time, in milliseconds
   */
  private admit (sequence: Sequence): number {
    this.running.push(sequence)
    const cachedTokens = this.prefixCache.get(sequence.prefix) ?? 0
    this.prefixCache.delete(sequence.prefix)
    this.prefixCache.set(sequence.prefix, sequence.prefixTokens)
    if (
      this.prefixCache.size > this.parameters.prefixCacheSize
    ) this.prefixCache.delete(this.prefixCache.keys().next().value!)
    return (sequence.promptTokens - cachedTokens) / this.parameters.prefillTokensPerMs
  }

  private generateToken (sequence: Sequence): void {
    const { id, outputTokens } = sequence
    if (sequence.isCancelled) return this.finishSequence(sequence, 'response.incomplete', 'cancelled')
    const delta = generateTokenAt(id, sequence.generatedTokens)
    this.emit(sequence, { type: 'response.output_text.delta', item_id: `msg_${id}`, output_index: 0, delta })
    sequence.generatedTokens++
    this.generatedTokenCount++
    if (sequence.generatedTokens >= outputTokens) this.finishSequence(sequence, 'response.completed', 'completed')
  }

  private finishSequence (sequence: Sequence, type: string, status: string): void {
    const { id, generatedTokens } = sequence
    const content = [{ type: 'output_text', text: generateText(id, generatedTokens) }]
    const output = [{ id: `msg_${id}`, type: 'message', role: 'assistant', content }]
    const usage = { input_tokens: sequence.promptTokens, output_tokens: generatedTokens }
    sequence.isDone = true
    this.emit(sequence, { type, response: { id, object: 'response', status, output, usage } })
    this.running.splice(this.running.indexOf(sequence), 1)
    if (this.sequences.size > MAX_RETAINED_SEQUENCES) this.sequences.delete(this.sequences.keys().next().value!)
  }
}
