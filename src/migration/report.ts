import type { MigrationStage } from './stage.js'

/** Progress of a migration, as stored. It is kept when the process that made the decision ends. */
export interface MigrationReport {
  readonly service: string
  readonly version: string
  readonly stage: MigrationStage
  /** When the migration is due, in milliseconds of the store's clock; undefined if unknown. */
  readonly dueAt: number | undefined
}
