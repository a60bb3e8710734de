/** Stage of a version migration. */
export const MoveStage = {
  running: 'running',
  /** All requests go to the new version, and servers of other versions are stopped. */
  done: 'done',
  /** No more requests go to the new version. */
  takenBack: 'taken-back'
} as const

/** One of the values of {@link MoveStage}. */
export type MoveStage = typeof MoveStage[keyof typeof MoveStage]
