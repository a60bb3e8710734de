/** Remote procedure calls between hosts. */
export { type PeerFailureCode, PeerFailure, toPeerFailure } from './failure.js'
export { CALL_TIMEOUT_MS, type Callee, Peers } from './peers.js'
export { type Answerer, type ChunkBody, Exchange } from './linkserver.js'
export { type Body, type InBody, LinkClient } from './linkclient.js'
export { Outbox } from './sendqueue.js'
export { Listener } from './listener.js'
export * from './peer_pb.js'
