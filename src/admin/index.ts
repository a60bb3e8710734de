/** The HTTP routes of the administration API. */
export type { AdminContext } from './context.js'
export { createAdminRoutes } from './routes.js'
