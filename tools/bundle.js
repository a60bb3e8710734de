/** Bundles the program that runs on the users' platform into one file under target/. */
import { bundle } from './build.js'

await bundle('platform/main.ts', 'target/marigoldvalve.cjs', true)
