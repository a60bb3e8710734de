/** How many calls a server may have beyond its slots, so that none of them lies idle between two calls. */
export { Turnaround } from './turnaround.js'
