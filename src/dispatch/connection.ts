import type { Ask, Reply } from './dispatch_pb.js'

/** A connection to a scheduler, either the one of this process or that of another host. */
export interface SchedulerConnection {
  /** @param ask - the message; messages are delivered in the order of the calls */
  send (ask: Ask): void
}

/** Receives the messages of a scheduler. */
export type ReplyHandler = (reply: Reply) => void
