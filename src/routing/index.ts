/** The operators' configuration of routes, services, organisations and limits. */
export { Repeat, type Route, type Target, mayRepeat } from './route.js'
export { type Organisation, Unit } from './organisation.js'
export type { BackendService } from './service.js'
export type { CallerLimits } from './limits.js'
export { Deployment, type DeploymentParts } from './deployment.js'
