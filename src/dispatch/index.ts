/** Sends the slot requests of all hosts to one selected scheduler. */
export { Gossip } from './gossip.js'
export { Hub } from './hub.js'
export { Dispatcher } from './dispatcher.js'
export type { Placement, JobHandle } from './jobhandle.js'
export type { Member } from './member.js'
export type { SchedulerConnection } from './connection.js'
export { SchedulerSelector } from './selector.js'
export { DispatchListener } from './listener.js'
