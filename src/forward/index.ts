/** Receives callers' requests, sends each to a backend server and returns the response. */
export type { HeaderNames } from './headernames.js'
export type { ForwardContext } from './context.js'
export { BufferBudget, type BufferOwner } from './bufferbudget.js'
export { ConnectionPool } from './connectionpool.js'
export { Ingress } from './ingress.js'
export { probeConnection } from './probe.js'
export { Reachability } from './reachability.js'
