/**
 * Runs the tests. Failures of tests listed in KNOWN-RED.txt are printed and do not
 * fail the run; any other failure does, and so does a run in which no test passes.
 *
 * Arguments: names of test files; all if none is given.
 */
import { existsSync, readdirSync, readFileSync } from 'node:fs'
import { run } from 'node:test'

const KNOWN_FAILURES_FILE = 'KNOWN-RED.txt'

/** Reads the names of the known failing tests: the lines that start with "test: ". */
function readKnownFailures () {
  if (!existsSync(KNOWN_FAILURES_FILE)) return new Set()
  const lines = readFileSync(KNOWN_FAILURES_FILE, 'utf8').split('\n')
  return new Set(lines.filter(line => line.startsWith('test: ')).map(line => line.slice('test: '.length).trim()))
}

/** Tests of the memory of processes, which other load would disturb: they run after all others, one file at a time. */
function measuresMemory (file) {
  return file.endsWith('.memory.test.ts')
}

/** Formats the error of a failed test. */
function formatError (error) {
  const cause = error?.cause
  return cause?.stack ?? cause ?? error
}

const requested = process.argv.slice(2)
const files = (requested.length > 0 ? requested : readdirSync('test').filter(name => name.endsWith('.test.ts')))
  .map(name => name.startsWith('test/') ? name : `test/${name}`).sort()
const knownFailures = readKnownFailures()
const counts = { passed: 0, failed: 0, knownFailed: 0 }

/** Runs files, and counts and prints the results. */
function runFiles (group, concurrency) {
  return new Promise(resolve => {
    if (group.length === 0) {
      resolve()
      return
    }
    run({ files: group, concurrency })
      .on('test:pass', event => {
        if (event.details?.type === 'suite' || files.some(file => event.name.endsWith(file))) return
        counts.passed++
        if (knownFailures.has(event.name)) process.stdout.write(`known red, but passed: ${event.name}\n`)
      })
      .on('test:fail', event => {
        if (event.details?.type === 'suite') return
        const isFile = files.some(file => event.name.endsWith(file))
        if (isFile && event.details?.error?.failureType === 'subtestsFailed') return
        if (knownFailures.has(event.name)) {
          counts.knownFailed++
          process.stdout.write(`known red: ${event.name}\n`)
          return
        }
        counts.failed++
        process.stdout.write(`FAILED: ${event.name} (${event.file ?? ''})\n${formatError(event.details?.error)}\n`)
      })
      .on('test:stderr', event => process.stderr.write(event.message))
      .on('end', resolve)
      .resume()
  })
}

await runFiles(files.filter(file => !measuresMemory(file)), 2)
await runFiles(files.filter(measuresMemory), 1)
if (counts.knownFailed > 0) process.stdout.write(`${counts.knownFailed} known red passed over\n`)
process.stdout.write(`${counts.passed} passed, ${counts.failed} failed\n`)
process.exitCode = counts.failed > 0 || counts.passed === 0 ? 1 : 0
