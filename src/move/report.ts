import type { MoveStage } from './stage.js'

/** Progress of a migration, as stored. It is kept when the process that made the decision ends. */
export interface MoveReport {
  readonly service: string
  readonly version: string
  readonly stage: MoveStage
  /** When the migration is due, in milliseconds of the store's clock; undefined if unknown. */
  readonly dueAt: number | undefined
}
