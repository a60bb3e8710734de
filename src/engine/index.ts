/** Client side of inference engines: HTTP calls, parsing of server-sent events, and ordering of response streams. */
export { type EngineFailureCode, EngineFailure } from './failure.js'
export { isLastEvent, readEvent, type StreamEvent } from './event.js'
export { Splitter } from './splitter.js'
export { Guard, type Verdict } from './responsesequencer.js'
export { type Body, EngineClient } from './client.js'
