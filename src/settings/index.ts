/** What one process is told at its start. */
export { type Settings, SettingsFailure, loadSettings, parseSettings, readSecret } from './settings.js'
