/** Stage of a version migration. */
export const MigrationStage = {
  running: 'running',
  /** All requests go to the new version, and servers of other versions are stopped. */
  completed: 'done',
  /** No more requests go to the new version. */
  rolledBack: 'taken-back'
} as const

/** One of the values of {@link MigrationStage}. */
export type MigrationStage = typeof MigrationStage[keyof typeof MigrationStage]
