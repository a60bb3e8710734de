import type { IncomingMessage, ServerResponse } from 'node:http'
import type { CallerConnection } from './callerconnection.js'
import type { CallerResponse } from './callerresponse.js'
import type { RequestBody } from './requestbody.js'

/** A request whose headers were received. */
export interface ReceivedRequest {
  readonly message: IncomingMessage
  readonly body: RequestBody
  readonly connection: CallerConnection
  readonly response: CallerResponse
  readonly rawResponse: ServerResponse
  readonly arrivedAt: number
}
