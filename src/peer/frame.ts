import type { MessageInitShape } from '@bufbuild/protobuf'
import type { FrameSchema } from './peer_pb.js'

/** A frame to be sent. */
export type OutFrame = MessageInitShape<typeof FrameSchema>
