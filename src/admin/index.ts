/** The HTTP routes of the administration API. */
export type { AdminContext } from './context.js'
export { adminRoutes } from './routes.js'
