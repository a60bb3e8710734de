import { basename } from 'node:path'
import { Command } from 'commander'
import type { Result } from 'neverthrow'
import { readSecret } from '../settings/index.js'
import { Api, ApiFailure, type Target } from './api.js'
import { checkFile } from './check.js'
import { Exit } from './exit.js'
import { serve } from './serve.js'
import { readStates, showStates } from './status.js'

const VERSION = '0.1.0'

const EXIT_HELP = `
Exit codes: 0 done, 1 failed, 2 a file or argument is wrong, 3 another change came first, 4 host out of reach.`

const EXIT_OF = {
  unreachable: Exit.unreachable,
  conflict: Exit.conflict,
  unreadable: Exit.invalid,
  rejected: Exit.failed
} as const

function print (text: string): void {
  process.stdout.write(`${text}\n`)
}

function fail (message: string, code: Exit): Exit {
  process.stderr.write(`${message}\n`)
  return code
}

function conclude (result: Result<unknown, ApiFailure>, show: (json: unknown) => string): Exit {
  if (result.isErr()) return fail(result.error.message, EXIT_OF[result.error.code])
  print(show(result.value))
  return Exit.done
}

function asJson (json: unknown): string {
  return JSON.stringify(json, null, 2)
}

function withTarget (command: Command): Command {
  return command
    .requiredOption('--at <address>', 'address of any host, such as http://10.0.0.1:8080')
    .requiredOption('--key-file <file>', 'file that holds your operator key')
    .addHelpText('after', EXIT_HELP)
}

async function apply (file: string, options: Target & { revision?: string }): Promise<Exit> {
  const checked = checkFile(file)
  if (checked.isErr()) return fail(checked.error.message, Exit.invalid)
  if (checked.value !== 'configuration') return fail(`${file}: these are settings of a process`, Exit.invalid)
  const api = new Api(options)
  let revision = options.revision
  if (revision === undefined) {
    const shown = await api.get('/configuration')
    if (shown.isErr()) return fail(shown.error.message, EXIT_OF[shown.error.code])
    revision = String((shown.value as { revision: number }).revision)
  }
  const text = readSecret(file)._unsafeUnwrap()
  const path = `/configuration?revision=${revision}&file=${encodeURIComponent(basename(file))}`
  const applied = await api.post(path, text)
  return conclude(applied, json => `accepted as revision ${(json as { revision: number }).revision}`)
}

function check (files: readonly string[]): Exit {
  let exit: Exit = Exit.done
  for (const file of files) {
    const checked = checkFile(file)
    if (checked.isErr()) exit = fail(checked.error.message, Exit.invalid)
    else print(`${file}: ${checked.value}: ok`)
  }
  return exit
}

/**
 * Builds the command line.
 *
 * @param onExit - given the exit code of the command that ran
 * @returns the program
 */
export function program (onExit: (code: Exit) => void): Command {
  const root = new Command('marigoldvalve').version(VERSION)
    .description('Schedules requests for unlike engines: operators state targets, the system keeps them.')
  root.command('serve').description('run one host\'s process; SIGTERM drains, a second one stops')
    .requiredOption('--settings <file>', 'the settings of this process, in TOML')
    .addHelpText('after', EXIT_HELP)
    .action(async (options: { settings: string }) => onExit(await serve(options.settings)))
  root.command('check').description('check settings or configuration files without running anything')
    .argument('<files...>', 'TOML files').addHelpText('after', EXIT_HELP)
    .action((files: string[]) => onExit(check(files)))
  withTarget(root.command('apply').description('change the configuration')
    .argument('<file>', 'the items to put and the names to remove, in TOML')
    .option('--revision <number>', 'the revision the change is made for; the present one if not given'))
    .action(async (file: string, options: Target & { revision?: string }) => onExit(await apply(file, options)))
  withTarget(root.command('show').description('show the configuration in force'))
    .action(async (options: Target) => onExit(conclude(await new Api(options).get('/configuration'), asJson)))
  withTarget(root.command('history').description('show the changes that led to the configuration'))
    .action(async (options: Target) => onExit(conclude(await new Api(options).get('/history'), asJson)))
  withTarget(root.command('status').description('show all hosts and backend servers').option('--json', 'as JSON'))
    .action(async (options: Target & { json?: boolean }) => {
      const states = await new Api(options).get('/dump/all')
      onExit(conclude(states, json => options.json === true ? asJson(json) : showStates(readStates(json))))
    })
  withTarget(root.command('dump').description('show the whole state of one host, also while the table is down'))
    .action(async (options: Target) => onExit(conclude(await new Api(options).get('/dump'), asJson)))
  withTarget(root.command('drain').description('have a host stop as planned, or a backend server get no new work')
    .option('--server <name>', 'the backend server to drain; the host itself if not given'))
    .action(async (options: Target & { server?: string }) => onExit(await drain(options)))
  return root
}

async function drain (options: Target & { server?: string }): Promise<Exit> {
  const api = new Api(options)
  if (options.server === undefined) return conclude(await api.post('/drain', ''), () => 'draining')
  return conclude(await api.post(`/servers/${encodeURIComponent(options.server)}/drain`, ''), () => 'draining')
}
