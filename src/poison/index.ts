/** Detection of poison requests, which crash each server that runs them. */
export { CRASHES_TO_CONVICT, Suspects } from './suspects.js'
export { Crashes } from './crashes.js'
