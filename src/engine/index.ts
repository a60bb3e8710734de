/** Engines as clients see them: calls, events, and what may pass of a stream. */
export { type EngineCode, EngineFailure } from './failure.js'
export { isLast, readEvent, type StreamEvent } from './event.js'
export { Splitter } from './splitter.js'
export { Guard, type Verdict } from './responsesequencer.js'
export { type Body, EngineClient } from './client.js'
