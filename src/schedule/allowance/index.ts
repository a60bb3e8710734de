/** How many requests a server may get now, whatever slots it has. */
export { Allowance, type ServiceBounds } from './allowance.js'
export { Brittleness } from './brittleness.js'
export { ColdBound, type ColdOvershoot } from './coldbound.js'
export type { HostShares } from './hostshares.js'
