/** A host process in front of the backend servers, put together. */
export type { Endpoint, GatewaySettings } from './settings.js'
export type { Platform, TableNames } from './platform.js'
export { Gateway } from './gateway.js'
export { Absence } from './absence.js'
