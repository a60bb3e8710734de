/** One host's process: all roles, put together. */
export { Host, HostFailure } from './host.js'
export { ChangeFailure } from './configurations.js'
