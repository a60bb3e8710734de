import { RetrySafety } from '../src/routing/index.js'
import { route } from './rig.js'

/** Time limit of the routes, in milliseconds. */
const TIMEOUT_MS = 1_500

/** Routes that differ in whether a request may be sent again, by their names in tests. */
export const ROUTE_KINDS = {
  unsafe: route({ retrySafety: RetrySafety.unsafe, timeoutMs: TIMEOUT_MS }),
  safe: route({ timeoutMs: TIMEOUT_MS }),
  stream: route({ retrySafety: RetrySafety.stream, timeoutMs: TIMEOUT_MS }),
  resumable: route({ retrySafety: RetrySafety.stream, isResumable: true, timeoutMs: TIMEOUT_MS })
} as const
