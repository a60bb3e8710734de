/**
 * Runs the tests and judges them. Tests listed in KNOWN-RED.txt may fail: they
 * are printed and passed over; any other failure fails the run.
 */
import { existsSync, readdirSync, readFileSync } from 'node:fs'
import { run } from 'node:test'

const KNOWN_RED = 'KNOWN-RED.txt'

/** Reads the names of tests that are known to fail: lines that start with "test: ". */
function knownRed () {
  if (!existsSync(KNOWN_RED)) return new Set()
  const lines = readFileSync(KNOWN_RED, 'utf8').split('\n')
  return new Set(lines.filter(line => line.startsWith('test: ')).map(line => line.slice('test: '.length).trim()))
}

/** Says what went wrong in a test. */
function describe (error) {
  const cause = error?.cause
  return cause?.stack ?? cause ?? error
}

const wanted = process.argv.slice(2)
const files = (wanted.length > 0 ? wanted : readdirSync('test').filter(name => name.endsWith('.test.ts')))
  .map(name => name.startsWith('test/') ? name : `test/${name}`).sort()
const red = knownRed()
const counts = { passed: 0, failed: 0, red: 0 }

run({ files, concurrency: 2 })
  .on('test:pass', event => {
    if (event.details?.type === 'suite' || files.some(file => event.name.endsWith(file))) return
    counts.passed++
    if (red.has(event.name)) process.stdout.write(`known red, but passed: ${event.name}\n`)
  })
  .on('test:fail', event => {
    if (event.details?.type === 'suite') return
    const isFile = files.some(file => event.name.endsWith(file))
    if (isFile && event.details?.error?.failureType === 'subtestsFailed') return
    if (red.has(event.name)) {
      counts.red++
      process.stdout.write(`known red: ${event.name}\n`)
      return
    }
    counts.failed++
    process.stdout.write(`FAILED: ${event.name} (${event.file ?? ''})\n${describe(event.details?.error)}\n`)
  })
  .on('test:stderr', event => process.stderr.write(event.message))
  .on('end', () => {
    if (counts.red > 0) process.stdout.write(`${counts.red} known red passed over\n`)
    process.stdout.write(`${counts.passed} passed, ${counts.failed} failed\n`)
    process.exitCode = counts.failed > 0 || counts.passed === 0 ? 1 : 0
  })
  .resume()
