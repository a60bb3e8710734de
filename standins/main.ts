/** Runs one stand-in as a process of its own. */
import { Command } from 'commander'
import { Engine } from './engine.js'
import { PlatformService } from './platform.js'
import { ServiceWorker } from './service.js'

const root = new Command('standin').description('small stand-ins for engines, services and the platform')

function ready (what: string, port: number): void {
  process.stdout.write(`${what} ${port}\n`)
}

root.command('engine')
  .option('--port <number>', 'port', '0')
  .option('--batch <number>', 'most sequences at once', '16')
  .option('--prefill <number>', 'prompt tokens a millisecond', '10')
  .option('--step <ms>', 'time of a step with one sequence', '10')
  .option('--step-per-sequence <ms>', 'time that each further sequence adds', '0.5')
  .option('--prefixes <number>', 'prefixes cached', '50')
  .action(async (options: Record<string, string>) => {
    const engine = new Engine({
      batch: Number(options.batch),
      prefillPerMs: Number(options.prefill),
      stepMs: Number(options.step),
      stepPerSequenceMs: Number(options.stepPerSequence),
      prefixes: Number(options.prefixes)
    })
    ready('engine', await engine.listen(Number(options.port)))
  })

root.command('service')
  .option('--port <number>', 'port', '0')
  .option('--name <name>', 'name', 'worker')
  .action(async (options: Record<string, string>) => {
    ready('service', await new ServiceWorker(options.name!).listen(Number(options.port)))
  })

root.command('platform')
  .option('--port <number>', 'port', '0')
  .action(async (options: Record<string, string>) => {
    ready('platform', await new PlatformService().listen(Number(options.port)))
  })

void root.parseAsync()
