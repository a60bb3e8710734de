/** The administration API. */
export type { AdminContext } from './context.js'
export { adminRoutes } from './routes.js'
