import { type ChildProcess, spawn } from 'node:child_process'

const READY_TIMEOUT_MS = 20_000
const MAX_OUTPUT_LINES = 2_000

/** A child process of this one. Signals go to its process id alone, never to processes found by name. */
export class Child {
  private readonly outputLines: string[] = []
  private readonly exitCode: Promise<number>
  private hasExited = false

  private constructor (private readonly child: ChildProcess) {
    this.exitCode = new Promise(resolve => child.once('exit', code => {
      this.hasExited = true
      resolve(code ?? -1)
    }))
  }

  /** The last lines of its standard output. */
  get output (): readonly string[] {
    return this.outputLines
  }

  /** Process id; 0 if the process could not be started. */
  get pid (): number {
    return this.child.pid ?? 0
  }

  get isRunning (): boolean {
    return !this.hasExited
  }

  /**
   * Starts a bundled program and waits until it reports its port on standard output.
   *
   * @param bundle - path of the program
   * @param args - command-line arguments
   * @param parsePort - returns the port if a line of output reports it, else undefined
   * @returns the process and the port
   * @throws Error if it exits first or takes longer than 20 s
   */
  static async start (bundle: string, args: readonly string[], parsePort: (line: string) => number | undefined):
  Promise<{ child: Child, port: number }> {
    const started = new Child(spawn(process.execPath, [bundle, ...args], { stdio: ['ignore', 'pipe', 'inherit'] }))
    const port = await new Promise<number>((resolve, reject) => {
      const timer = setTimeout(
        () => reject(new Error(`${bundle} ${args.join(' ')}: no port reported within 20 s`)), READY_TIMEOUT_MS)
      void started.exitCode.then(code => reject(new Error(`${bundle} ${args.join(' ')}: exited with status ${code}`)))
      started.followOutput(line => {
        const reportedPort = parsePort(line)
        if (reportedPort === undefined) return
        clearTimeout(timer)
        resolve(reportedPort)
      })
    })
    return { child: started, port }
  }

  /** @param signal - sent to the process */
  sendSignal (signal: NodeJS.Signals): void {
    if (this.isRunning) this.child.kill(signal)
  }

  /** Kills the process, a suspended one included, and waits until it has exited. */
  async kill (): Promise<void> {
    this.sendSignal('SIGCONT')
    this.sendSignal('SIGKILL')
    await this.exitCode
  }

  /** @returns the exit status once the process has exited; -1 if a signal ended it */
  waitForExit (): Promise<number> {
    return this.exitCode
  }

  private followOutput (onLine: (line: string) => void): void {
    let incomplete = ''
    this.child.stdout?.setEncoding('utf8')
    this.child.stdout?.on('data', (text: string) => {
      const lines = (incomplete + text).split('\n')
      incomplete = lines.pop() ?? ''
      for (const line of lines) {
        this.outputLines.push(line)
        if (this.outputLines.length > MAX_OUTPUT_LINES) this.outputLines.shift()
        onLine(line)
      }
    })
  }
}
