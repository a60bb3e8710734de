import { err, ok, type Result } from 'neverthrow'
import type { Clock } from '../base/index.js'
import { type Body, type EngineClient, EngineFailure, Guard, readEvent, Splitter, type StreamEvent } from '../engine/index.js'

/** Longest event taken from an engine, in bytes. */
const GREATEST_EVENT_BYTES = 8 << 20

/** How often in a row a broken answer is read on without getting further before it is given up. */
const RESUMES = 3
const RESUME_PAUSE_MS = 200

/** Takes the events of an answer as they pass. */
export type Sink = (event: StreamEvent) => void

/** Where an answer is read from. */
export interface Source {
  readonly address: string
  readonly responseId: string
}

/**
 * Reads one answer to its end, and on after breaks. Never starts it anew.
 */
export class Reader {
  private readonly guard: Guard
  private stopped = false

  /**
   * @param client - calls the engine
   * @param source - the engine and the response
   * @param after - the last sequence number already had; -1 for none
   * @param clock - waits before reading on
   */
  constructor (
    private readonly client: EngineClient, private readonly source: Source, after: number, private readonly clock: Clock
  ) {
    this.guard = new Guard(source.responseId, after)
  }

  /** Ends reading; what comes later is dropped. */
  stop (): void {
    this.stopped = true
  }

  /**
   * Reads to the end.
   *
   * @param body - the stream as it was opened, or the failure met in opening it
   * @param sink - takes each event once, in order
   * @returns nothing once the answer's last event has passed, or why it can't be had
   */
  async run (body: Result<Body, EngineFailure>, sink: Sink): Promise<Result<void, EngineFailure>> {
    let stream = body
    let resumes = 0
    for (;;) {
      const before = this.guard.position
      const read = stream.isOk() ? await this.drain(stream.value, sink) : err(stream.error)
      if (this.guard.isDone) return ok(undefined)
      const failure = read.isErr() ? read.error : this.failure('broken', 'the stream ended early')
      if (this.guard.position > before) resumes = 0
      if (this.stopped || resumes === RESUMES || failure.code === 'absent') return err(failure)
      this.guard.rewind()
      await this.clock.sleep(RESUME_PAUSE_MS * 2 ** resumes++)
      stream = await this.client.resume(this.source.address, this.source.responseId, this.guard.position)
    }
  }

  /** Reads a stream until the answer's last event has passed or the stream ends. */
  private drain (body: Body, sink: Sink): Promise<Result<void, EngineFailure>> {
    const splitter = new Splitter(GREATEST_EVENT_BYTES)
    return new Promise(resolve => {
      const finish = (result: Result<void, EngineFailure>): void => {
        body.off('data', take)
        // The rest is let through unread: ending the connection here would cost more than the few bytes left.
        if (this.guard.isDone) body.resume()
        else body.destroy()
        resolve(result)
      }
      const take = (bytes: Buffer): void => {
        const passed = this.stopped ? ok(undefined) : this.take(splitter.push(bytes), sink)
        if (passed.isErr() || this.guard.isDone || this.stopped) finish(passed)
      }
      body.on('data', take)
      body.on('end', () => finish(ok(undefined)))
      body.on('error', cause => finish(err(this.failure('broken', cause.message))))
      body.on('close', () => finish(ok(undefined)))
    })
  }

  private take (events: Buffer[] | undefined, sink: Sink): Result<void, EngineFailure> {
    if (events === undefined) return err(this.failure('broken', `an event is over ${GREATEST_EVENT_BYTES} bytes`))
    for (const bytes of events) {
      const event = readEvent(bytes)
      if (event === undefined) continue
      const verdict = this.guard.push(event)
      if (verdict.verdict === 'foreign') return err(this.failure('foreign', 'an event belongs to another response'))
      if (verdict.verdict === 'gap') return err(this.failure('broken', 'events are missing'))
      verdict.events.forEach(sink)
    }
    return ok(undefined)
  }

  private failure (code: 'broken' | 'foreign', what: string): EngineFailure {
    return new EngineFailure({ code }, `${this.source.address}: response ${this.source.responseId}: ${what}`)
  }
}
