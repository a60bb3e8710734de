import type { Agenda } from './clock.js'
import type { FakeEngine } from './engine.js'
import type { Request } from './trace.js'
import { End, type Note } from './result.js'

/** What a policy works with. */
export interface Scene {
  readonly agenda: Agenda
  readonly engines: readonly FakeEngine[]
}

/** A way of giving requests to engines. */
export interface Policy {
  readonly name: string
  /**
   * Takes a request.
   *
   * @param request - the request
   * @param note - where its progress is noted
   */
  take (request: Request, note: Note): void
}

/**
 * Hands a request to an engine and notes what comes.
 *
 * @param agenda - virtual time
 * @param engine - the engine
 * @param note - the request's note
 * @param onEnd - called when it is over on the engine
 * @returns cancels it
 */
export function runOn (agenda: Agenda, engine: FakeEngine, note: Note, onEnd: () => void): () => void {
  return engine.start(note.request.prompt, note.request.length, {
    token: () => note.token(agenda.now),
    done: () => {
      note.finish(End.answered, agenda.now)
      onEnd()
    },
    lost: () => {
      note.finish(End.lost, agenda.now)
      onEnd()
    }
  })
}
