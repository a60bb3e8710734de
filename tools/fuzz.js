/**
 * Runs the fuzz tests with many more iterations than CI does and prints the seed.
 * The environment variables FUZZ_SEED and FUZZ_FACTOR set the seed and the multiple of the iterations.
 */
import { readdirSync } from 'node:fs'

process.env.FUZZ_SEED ??= String(Math.floor(Math.random() * 2 ** 31))
process.env.FUZZ_FACTOR ??= '25'
process.stdout.write(`seed ${process.env.FUZZ_SEED}, ${process.env.FUZZ_FACTOR} times the runs of CI\n`)
process.argv.push(...readdirSync('test').filter(name => name.endsWith('.fuzz.test.ts')))
await import('./test.js')
