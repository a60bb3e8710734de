/** Takes requests of callers, sends each to a server and brings the answer back. */
export type { HeaderNames } from './headernames.js'
export type { ForwardContext } from './context.js'
export { Channels } from './connectionpool.js'
export { Ingress } from './ingress.js'
