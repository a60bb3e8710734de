/** The configuration: classes, organisations, operators, backend servers and services. */
export { durationSchema, parseDuration } from './duration.js'
export { type WorkClass, LOWEST_TIER, HIGHEST_TIER } from './class.js'
export { type Organisation, type Operator, Role } from './organisation.js'
export { type BackendServer, ServerKind } from './server.js'
export { type Service, type ServiceCall, isRepeatable } from './service.js'
export type { ChangeStep, ConfigurationChange, Put, Removal, Section, Sections } from './change.js'
export { Configuration, ConfigurationFailure } from './configuration.js'
export { parseChangeSteps } from './document.js'
