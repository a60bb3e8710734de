import { err, ok, type Result } from 'neverthrow'
import type { Clock } from '../base/index.js'
import {
  type EngineClient, EngineFailure, EventSplitter, parseEvent, type ResponseBody, ResponseSequencer, type StreamEvent
} from '../engine/index.js'

/** Size of the longest event accepted from an engine, in bytes. */
const MAX_EVENT_BYTES = 8 << 20

/** Number of consecutive resumes without a new event after which a response counts as failed. */
const MAX_RESUMES = 3
const RESUME_BACKOFF_MS = 200

/** Handles the events of a response as they arrive. */
export type EventHandler = (event: StreamEvent) => void

/** Where a response is read from. */
export interface ResponseSource {
  /** Address of the engine. */
  readonly address: string
  readonly responseId: string
}

/**
 * Reads one response until it is finished, and resumes it after a broken
 * connection. It never sends the request again.
 */
export class ResponseReader {
  private readonly sequencer: ResponseSequencer
  private isStopped = false

  /**
   * @param client - client for the engine's API
   * @param source - where the response is read from
   * @param after - the last sequence number already received; -1 for none
   * @param clock - times the delay before a resume
   */
  constructor (
    private readonly client: EngineClient,
    private readonly source: ResponseSource,
    after: number,
    private readonly clock: Clock
  ) {
    this.sequencer = new ResponseSequencer(source.responseId, after)
  }

  /** Stops reading; later events are dropped. */
  stop (): void {
    this.isStopped = true
  }

  /**
   * Reads the response until its last event.
   *
   * @param body - the opened stream, or the failure to open it
   * @param onEvent - called with each event once, in order
   * @returns nothing once the last event has been handled, or the failure that prevents it
   */
  async read (body: Result<ResponseBody, EngineFailure>, onEvent: EventHandler): Promise<Result<void, EngineFailure>> {
    let stream = body
    let resumeCount = 0
    for (;;) {
      const previousPosition = this.sequencer.lastPassedSequence
      const read = stream.isOk() ? await this.readStream(stream.value, onEvent) : err(stream.error)
      if (this.sequencer.isDone) return ok(undefined)
      const failure = read.isErr() ? read.error : this.failure('broken', 'stream ended before the last event')
      if (this.sequencer.lastPassedSequence > previousPosition) resumeCount = 0
      if (this.isStopped || resumeCount === MAX_RESUMES || failure.code === 'absent') return err(failure)
      this.sequencer.discardBuffered()
      await this.clock.sleep(RESUME_BACKOFF_MS * 2 ** resumeCount++)
      stream = await this.client.resume(this.source.address, this.source.responseId, this.sequencer.lastPassedSequence)
    }
  }

  /** Reads a stream until the last event of the response has been handled or the stream ends. */
  private readStream (body: ResponseBody, onEvent: EventHandler): Promise<Result<void, EngineFailure>> {
    const splitter = new EventSplitter(MAX_EVENT_BYTES)
    return new Promise(resolve => {
      const finish = (result: Result<void, EngineFailure>): void => {
        body.off('data', onData)
        // Discards the few bytes left: reading them costs less than closing the connection.
        if (this.sequencer.isDone) body.resume()
        else body.destroy()
        resolve(result)
      }
      const onData = (bytes: Buffer): void => {
        const handled = this.isStopped ? ok(undefined) : this.handleEvents(splitter.push(bytes), onEvent)
        if (handled.isErr() || this.sequencer.isDone || this.isStopped) finish(handled)
      }
      body.on('data', onData)
      body.on('end', () => finish(ok(undefined)))
      body.on('error', cause => finish(err(this.failure('broken', cause.message))))
      body.on('close', () => finish(ok(undefined)))
    })
  }

  private handleEvents (events: Buffer[] | undefined, onEvent: EventHandler): Result<void, EngineFailure> {
    if (events === undefined) return err(this.failure('broken', `event exceeds ${MAX_EVENT_BYTES} bytes`))
    for (const bytes of events) {
      const event = parseEvent(bytes)
      if (event === undefined) continue
      const result = this.sequencer.push(event)
      if (result.kind === 'foreign') return err(this.failure('foreign', 'event belongs to another response'))
      if (result.kind === 'gap') return err(this.failure('broken', 'events are missing'))
      result.events.forEach(onEvent)
    }
    return ok(undefined)
  }

  private failure (code: 'broken' | 'foreign', description: string): EngineFailure {
    return new EngineFailure({ code }, `${this.source.address}: response ${this.source.responseId}: ${description}`)
  }
}
