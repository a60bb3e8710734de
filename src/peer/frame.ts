import type { MessageInitShape } from '@bufbuild/protobuf'
import type { FrameSchema } from './peer_pb.js'

/** A frame to be sent over a link. */
export type OutgoingFrame = MessageInitShape<typeof FrameSchema>
