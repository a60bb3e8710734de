/** The settings of one process, read when it starts. */
export { type Settings, SettingsFailure, loadSettings, parseSettings, readTextFile } from './settings.js'
