/** Runs one stand-in as a separate process, which prints its kind and port when it is ready. */
import { Command } from 'commander'
import { Engine } from './engine.js'
import { PlatformStandin } from './platform.js'
import { ServiceWorker } from './service.js'

const root = new Command('standin').description('test stand-ins for engines, services and the platform')

function printReady (kind: string, port: number): void {
  process.stdout.write(`${kind} ${port}\n`)
}

root.command('engine')
  .option('--port <number>', 'port to listen on; 0 takes any free one', '0')
  .option('--batch <number>', 'maximum batch size, in sequences', '16')
  .option('--prefill <number>', 'prefill speed, in prompt tokens per millisecond', '10')
  .option('--step <ms>', 'duration of a decoding step with one sequence, in ms', '10')
  .option('--step-per-sequence <ms>', 'time that each further sequence adds to a step, in ms', '0.5')
  .option('--prefixes <number>', 'number of prompt prefixes that the cache holds', '50')
  .action(async (options: Record<string, string>) => {
    const engine = new Engine({
      maxBatchSize: Number(options.batch),
      prefillTokensPerMs: Number(options.prefill),
      stepMs: Number(options.step),
      stepPerSequenceMs: Number(options.stepPerSequence),
      prefixCacheSize: Number(options.prefixes)
    })
    printReady('engine', await engine.listen(Number(options.port)))
  })

root.command('service')
  .option('--port <number>', 'port to listen on; 0 takes any free one', '0')
  .option('--name <name>', 'name reported in responses', 'worker')
  .action(async (options: Record<string, string>) => {
    printReady('service', await new ServiceWorker(options.name!).listen(Number(options.port)))
  })

root.command('platform')
  .option('--port <number>', 'port to listen on; 0 takes any free one', '0')
  .action(async (options: Record<string, string>) => {
    printReady('platform', await new PlatformStandin().listen(Number(options.port)))
  })

void root.parseAsync()
