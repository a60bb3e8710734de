/** The host process. */
export { Host, HostFailure } from './host.js'
export { ChangeFailure } from './configurations.js'
