import { parse } from 'smol-toml'
import type { Result } from 'neverthrow'
import type { Failure } from '../base/index.js'
import { readChanges } from '../config/index.js'
import { parseSettings, readSecret } from '../settings/index.js'

/** What a checked file is. */
export type Checked = 'settings' | 'configuration'

/** Keys that only settings have. */
const SETTINGS_KEYS = ['listen', 'peer', 'platform']

function isSettings (text: string): boolean {
  try {
    const root = parse(text)
    return SETTINGS_KEYS.some(key => key in root)
  } catch {
    return false
  }
}

/**
 * Checks a settings or configuration file without running anything.
 *
 * @param file - the file's path
 * @returns which of the two it is, or the first thing wrong with it
 */
export function checkFile (file: string): Result<Checked, Failure> {
  return readSecret(file).andThen((text): Result<Checked, Failure> => {
    if (isSettings(text)) return parseSettings(file, text).map((): Checked => 'settings')
    return readChanges(file, text).map((): Checked => 'configuration')
  })
}
