/** How far a move to a version has come. */
export const MoveStage = {
  running: 'running',
  /** All requests go to the version; servers of others are stopped. */
  done: 'done',
  /** No request goes to the version any more. */
  takenBack: 'taken-back'
} as const

/** One of the values of {@link MoveStage}. */
export type MoveStage = typeof MoveStage[keyof typeof MoveStage]
