/** The host process. */
export { Host, HostFailure } from './host.js'
export { ChangeFailure } from './configlog.js'
