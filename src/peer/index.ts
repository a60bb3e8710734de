/** Remote procedure calls between hosts. */
export { type PeerFailureCode, PeerFailure, toPeerFailure } from './failure.js'
export { CALL_TIMEOUT_MS, type Callee, Peers } from './peers.js'
export { type RequestHandler, type OutgoingChunk, LinkServer } from './linkserver.js'
export { type OutgoingBody, type IncomingBody, LinkClient } from './linkclient.js'
export { SendQueue } from './sendqueue.js'
export { SessionManager } from './sessionmanager.js'
export { Listener } from './listener.js'
export * from './peer_pb.js'
