import { createLogger } from 'bunyan'
import { SystemClock } from '../base/index.js'
import { Host } from '../host/index.js'
import { loadSettings } from '../settings/index.js'
import { Exit } from './exit.js'

/**
 * Runs one host's process until it is told to stop. The first SIGTERM or
 * SIGINT drains, a second one stops at once.
 *
 * @param file - the settings file
 * @returns the exit code, once the process may end
 */
export async function serve (file: string): Promise<Exit> {
  const settings = loadSettings(file)
  if (settings.isErr()) {
    process.stderr.write(`${settings.error.message}\n`)
    return Exit.invalid
  }
  const log = createLogger({ name: 'marigoldvalve', host: settings.value.host, level: settings.value.log.level })
  const started = await Host.start(settings.value, new SystemClock(), log)
  if (started.isErr()) {
    process.stderr.write(`${file}: ${started.error.message}\n`)
    return Exit.failed
  }
  const host = started.value
  log.info({ port: host.callerPort }, 'listening')
  return await new Promise(resolve => {
    let isStopping = false
    const stop = (): void => {
      if (isStopping) {
        void host.close().then(() => resolve(Exit.failed))
        return
      }
      isStopping = true
      void host.drain().then(() => resolve(Exit.done))
    }
    process.on('SIGTERM', stop)
    process.on('SIGINT', stop)
    host.onClosed(() => resolve(Exit.done))
  })
}
