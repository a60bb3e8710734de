import type { Outcome } from '../schedule/index.js'
import type { BufferedResponse } from './bufferedresponse.js'
import type { Delivery } from './delivery.js'
import type { ServerStatement } from './serverstatement.js'

/** Receives the progress of a delivery. */
export interface DeliveryListener {
  /** Called when the request may have reached the server. */
  onSent (): void

  /**
   * Called when the status and headers of the server's own response arrive.
   *
   * @param statement - what the server says of itself
   */
  onStatement (statement: ServerStatement): void

  /** Called when the first event arrives, or the headers of a response that is not streamed. */
  onStarted (): void

  /**
   * Called when the delivery is finished.
   *
   * @param delivery - the delivery
   * @param outcome - the outcome of the request at its server
   * @param result - the complete response; undefined if there is none or its events were forwarded already
   */
  onEnded (delivery: Delivery, outcome: Outcome, result: BufferedResponse | undefined): void
}
