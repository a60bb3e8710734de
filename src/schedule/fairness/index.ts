/** In which order the jobs of several organisations are served. */
export { FairShares } from './fairshares.js'
