import { basename } from 'node:path'
import { Command } from 'commander'
import type { Result } from 'neverthrow'
import { readTextFile } from '../settings/index.js'
import { ApiClient, ApiFailure, type ApiTarget } from './api.js'
import { checkFile } from './check.js'
import { ExitCode } from './exitcode.js'
import { serve } from './serve.js'
import { formatStates, parseStates } from './status.js'

const VERSION = '0.1.0'

const EXIT_HELP = `
Exit codes: 0 success, 1 failure, 2 invalid file or argument, 3 conflict with another change, 4 host unreachable.`

const EXIT_CODE_BY_FAILURE = {
  unreachable: ExitCode.unreachable,
  conflict: ExitCode.conflict,
  unreadable: ExitCode.invalid,
  rejected: ExitCode.failure
} as const

function printLine (text: string): void {
  process.stdout.write(`${text}\n`)
}

function printError (message: string, code: ExitCode): ExitCode {
  process.stderr.write(`${message}\n`)
  return code
}

function printResult (result: Result<unknown, ApiFailure>, format: (json: unknown) => string): ExitCode {
  if (result.isErr()) return printError(result.error.message, EXIT_CODE_BY_FAILURE[result.error.code])
  printLine(format(result.value))
  return ExitCode.success
}

function formatJson (json: unknown): string {
  return JSON.stringify(json, null, 2)
}

function addTargetOptions (command: Command): Command {
  return command
    .requiredOption('--at <address>', 'address of any host, such as http://10.0.0.1:8080')
    .requiredOption('--key-file <file>', 'file that contains your operator key')
    .addHelpText('after', EXIT_HELP)
}

async function apply (file: string, options: ApiTarget & { revision?: string }): Promise<ExitCode> {
  const kind = checkFile(file)
  if (kind.isErr()) return printError(kind.error.message, ExitCode.invalid)
  if (kind.value !== 'configuration') return printError(`${file}: not a configuration file`, ExitCode.invalid)
  const api = new ApiClient(options)
  let revision = options.revision
  if (revision === undefined) {
    const current = await api.get('/configuration')
    if (current.isErr()) return printError(current.error.message, EXIT_CODE_BY_FAILURE[current.error.code])
    revision = String((current.value as { revision: number }).revision)
  }
  const text = readTextFile(file)._unsafeUnwrap()
  const path = `/configuration?revision=${revision}&file=${encodeURIComponent(basename(file))}`
  const submitted = await api.post(path, text)
  return printResult(submitted, json => `accepted as revision ${(json as { revision: number }).revision}`)
}

function check (files: readonly string[]): ExitCode {
  let exitCode: ExitCode = ExitCode.success
  for (const file of files) {
    const checked = checkFile(file)
    if (checked.isErr()) exitCode = printError(checked.error.message, ExitCode.invalid)
    else printLine(`${file}: ${checked.value}: ok`)
  }
  return exitCode
}

/**
 * Builds the command-line program.
 *
 * @param onExit - called with the exit code when a command has finished
 * @returns the program, ready to parse its arguments
 */
export function buildProgram (onExit: (code: ExitCode) => void): Command {
  const program = new Command('marigoldvalve').version(VERSION)
    .description('Schedules requests across inference engines to meet the latency objectives that operators set.')
  program.command('serve')
    .description('run the process of one host; SIGTERM drains it, a second SIGTERM stops it at once')
    .requiredOption('--settings <file>', 'settings file of this process, in TOML')
    .addHelpText('after', EXIT_HELP)
    .action(async (options: { settings: string }) => onExit(await serve(options.settings)))
  program.command('check').description('validate settings or configuration files without starting a process')
    .argument('<files...>', 'files to validate, in TOML').addHelpText('after', EXIT_HELP)
    .action((files: string[]) => onExit(check(files)))
  addTargetOptions(program.command('apply').description('change the configuration')
    .argument('<file>', 'items to add or replace and names of items to remove, in TOML')
    .option('--revision <number>', 'revision that the change is based on (default: the current revision)'))
    .action(async (file: string, options: ApiTarget & { revision?: string }) => onExit(await apply(file, options)))
  addTargetOptions(program.command('show').description('show the current configuration'))
    .action(async (options: ApiTarget) => onExit(printResult(await new ApiClient(options).get('/configuration'), formatJson)))
  addTargetOptions(program.command('history').description('show the changes made to the configuration'))
    .action(async (options: ApiTarget) => onExit(printResult(await new ApiClient(options).get('/history'), formatJson)))
  addTargetOptions(program.command('status').description('show the state of all hosts and backend servers')
    .option('--json', 'print JSON instead of tables'))
    .action(async (options: ApiTarget & { json?: boolean }) => {
      const states = await new ApiClient(options).get('/dump/all')
      onExit(printResult(states, json => options.json === true ? formatJson(json) : formatStates(parseStates(json))))
    })
  addTargetOptions(program.command('dump')
    .description('show the full state of one host; works while the table is unavailable'))
    .action(async (options: ApiTarget) => onExit(printResult(await new ApiClient(options).get('/dump'), formatJson)))
  addTargetOptions(program.command('drain')
    .description('drain a host and stop it, or send no new requests to a backend server')
    .option('--server <name>', 'backend server to drain (default: the host itself)'))
    .action(async (options: ApiTarget & { server?: string }) => onExit(await drain(options)))
  return program
}

async function drain (options: ApiTarget & { server?: string }): Promise<ExitCode> {
  const api = new ApiClient(options)
  if (options.server === undefined) return printResult(await api.post('/drain', ''), () => 'draining')
  return printResult(await api.post(`/servers/${encodeURIComponent(options.server)}/drain`, ''), () => 'draining')
}
