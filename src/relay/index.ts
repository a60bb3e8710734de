/** Sends requests to servers by way of other hosts while this host cannot reach the servers. */
export { RelayPaths } from './paths.js'
export { RelayPool } from './pool.js'
export { RelayService } from './service.js'
