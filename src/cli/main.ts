/** The program's entry point. */
import { buildProgram } from './commands.js'

void buildProgram(code => { process.exit(code) }).parseAsync()
