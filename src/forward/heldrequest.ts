import type { Attempt } from './attempt.js'
import type { BufferBudget, BufferOwner } from './bufferbudget.js'
import type { CallerRequest } from './callerrequest.js'
import { headerBlockBytes } from './requestfields.js'
import { MEMORY_RETRY_AFTER_MS, NO_MEMORY, REQUEST_BYTES } from './requestbody.js'
import { Status } from './status.js'
import { YieldWeight } from './yieldweight.js'

/** The memory of a complete request until its final response. */
export class HeldRequest implements BufferOwner {
  /**
   * @param budget - the memory of all requests and responses
   * @param request - the request
   * @param attempt - the attempt, which is refused if the request has to give way
   */
  constructor (
    private readonly budget: BufferBudget, private readonly request: CallerRequest, private readonly attempt: Attempt
  ) {}

  get yieldWeight (): number {
    return this.attempt.isWaiting ? YieldWeight.notRun : YieldWeight.never
  }

  /** Counts the request. */
  hold (): void {
    const { body, headers } = this.request
    this.budget.set(this, REQUEST_BYTES + headerBlockBytes(headers) + body.length)
  }

  /** Counts the request no longer. */
  release (): void {
    this.budget.set(this, 0)
  }

  onBufferExhausted (): void {
    this.attempt.giveUp(Status.unavailable, NO_MEMORY, MEMORY_RETRY_AFTER_MS)
  }
}
