/** The gateway process: serves callers, schedules requests, and follows the store. */
export type { GatewaySettings } from './settings.js'
export type { Platform, TableNames } from './platform.js'
export { Gateway } from './gateway.js'
export { MemberEvictor } from './memberevictor.js'
