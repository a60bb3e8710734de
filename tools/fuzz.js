/** Long random runs of the fuzz tests. Prints the seed; FUZZ_SEED and FUZZ_FACTOR set seed and length. */
import { readdirSync } from 'node:fs'

process.env.FUZZ_SEED ??= String(Math.floor(Math.random() * 2 ** 31))
process.env.FUZZ_FACTOR ??= '25'
process.stdout.write(`seed ${process.env.FUZZ_SEED}, ${process.env.FUZZ_FACTOR} times the runs of CI\n`)
process.argv.push(...readdirSync('test').filter(name => name.endsWith('.fuzz.test.ts')))
await import('./test.js')
