/** Migrations of a service's requests to another version of its servers. */
export type { MoveOrder } from './order.js'
export { MoveStage } from './stage.js'
export type { MoveReport } from './report.js'
export type { Observation } from './evidence.js'
export type { ExposureBounds } from './exposure.js'
export { Move, Side } from './move.js'
