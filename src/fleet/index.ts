/** The backend servers, as described by their own entries in the store. */
export { type BackendServer, isSameIncarnation } from './server.js'
export { type Evacuation } from './evacuations.js'
export { Fleet, type FleetChange, type FleetDoubts, OUTAGE_GRACE_MS } from './fleet.js'
