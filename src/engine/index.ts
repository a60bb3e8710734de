/** Client side of inference engines: HTTP calls, parsing of server-sent events, and ordering of response streams. */
export { type EngineFailureCode, EngineFailure } from './failure.js'
export { isLastEvent, parseEvent, type StreamEvent } from './event.js'
export { EventSplitter } from './splitter.js'
export { ResponseSequencer, type SequencerResult } from './responsesequencer.js'
export { type ResponseBody, EngineClient } from './client.js'
