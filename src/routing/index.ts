/** The operators' configuration of routes, services, organisations and limits. */
export { RetrySafety, type Route, type Target, chooseService, mayRetryAfterExecution } from './route.js'
export { type Organisation, QuotaUnit } from './organisation.js'
export type { BackendService } from './service.js'
export type { CallerLimits } from './limits.js'
export { Deployment, type DeploymentParts } from './deployment.js'
