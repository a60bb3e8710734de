import type { MoveStage } from './stage.js'

/** What the system reports of a move; it outlives the process that decided. */
export interface MoveReport {
  readonly service: string
  readonly version: string
  readonly stage: MoveStage
  /** When the move is due, by the store's clock in milliseconds, if known. */
  readonly dueAt: number | undefined
}
