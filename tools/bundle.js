/** Bundles the program that is deployed on the platform into one file under target/. */
import { bundle } from './build.js'

await bundle('platform/main.ts', 'target/marigoldvalve.cjs', true)
