/** The backend servers, as they state themselves. */
export { type BackendServer, sameIncarnation } from './server.js'
export { Fleet, type FleetChange, RETURN_GRACE_MS } from './fleet.js'
