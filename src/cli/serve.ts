import { createLogger } from 'bunyan'
import { SystemClock } from '../base/index.js'
import { Host } from '../host/index.js'
import { loadSettings } from '../settings/index.js'
import { ExitCode } from './exitcode.js'

/**
 * Runs the process of one host until it is stopped. The first SIGTERM or
 * SIGINT drains the host, a second one stops it at once.
 *
 * @param file - path of the settings file
 * @returns the exit code, once the host has stopped
 */
export async function serve (file: string): Promise<ExitCode> {
  const settings = loadSettings(file)
  if (settings.isErr()) {
    process.stderr.write(`${settings.error.message}\n`)
    return ExitCode.invalid
  }
  const log = createLogger({ name: 'marigoldvalve', host: settings.value.host, level: settings.value.log.level })
  const started = await Host.start(settings.value, new SystemClock(), log)
  if (started.isErr()) {
    process.stderr.write(`${file}: ${started.error.message}\n`)
    return ExitCode.failure
  }
  const host = started.value
  log.info({ port: host.callerPort }, 'listening')
  return await new Promise(resolve => {
    let isStopping = false
    const onSignal = (): void => {
      if (isStopping) {
        void host.close().then(() => resolve(ExitCode.failure))
        return
      }
      isStopping = true
      void host.drain().then(() => resolve(ExitCode.success))
    }
    process.on('SIGTERM', onSignal)
    process.on('SIGINT', onSignal)
    host.onClosed(() => resolve(ExitCode.success))
  })
}
