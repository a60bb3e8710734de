import type { IncomingMessage, ServerResponse } from 'node:http'
import type { CallerResponse } from './callerresponse.js'

/** A request whose headers were received. */
export interface ReceivedRequest {
  readonly message: IncomingMessage
  readonly response: CallerResponse
  readonly rawResponse: ServerResponse
  readonly attemptId: string | undefined
  readonly arrivedAt: number
}
