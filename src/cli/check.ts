import { parse } from 'smol-toml'
import type { Result } from 'neverthrow'
import type { Failure } from '../base/index.js'
import { parseChangeSteps } from '../config/index.js'
import { parseSettings, readTextFile } from '../settings/index.js'

/** The kinds of file that `check` accepts. */
export type FileKind = 'settings' | 'configuration'

/** Top-level keys that occur only in settings files. */
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
 * Validates a settings or configuration file. The kind is detected from its top-level keys.
 *
 * @param file - the file's path
 * @returns the kind of the file, or the first error in it
 */
export function checkFile (file: string): Result<FileKind, Failure> {
  return readTextFile(file).andThen((text): Result<FileKind, Failure> => {
    if (isSettings(text)) return parseSettings(file, text).map((): FileKind => 'settings')
    return parseChangeSteps(file, text).map((): FileKind => 'configuration')
  })
}
