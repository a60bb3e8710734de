/** The program's entry point. */
import { program } from './commands.js'

void program(code => { process.exit(code) }).parseAsync()
