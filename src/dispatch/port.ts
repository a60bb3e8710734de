import type { Ask, Reply } from './dispatch_pb.js'

/** A scheduler, here or on another host, that takes the asks of this host. */
export interface Port {
  /** @param ask - sent on, in order */
  send (ask: Ask): void
}

/** Takes what a scheduler replies. */
export type TakeReply = (reply: Reply) => void
