/** Migrations of a service's requests to another version of its servers. */
export type { MigrationOrder } from './order.js'
export { MigrationStage } from './stage.js'
export type { MigrationReport } from './report.js'
export type { Observation } from './analysis.js'
export type { ExposureLimits } from './exposure.js'
export { Migration, Side } from './migration.js'
