import { type ChildProcess, spawn } from 'node:child_process'

const START_TIMEOUT_MS = 20_000
const KEPT_LINES = 2_000

/** One process that this run started, ended by its own id and no other. */
export class Child {
  private readonly lines: string[] = []
  private readonly exit: Promise<number>
  private hasExited = false

  private constructor (private readonly child: ChildProcess) {
    this.exit = new Promise(resolve => child.once('exit', code => {
      this.hasExited = true
      resolve(code ?? -1)
    }))
  }

  /** What it has written to its standard output, a line each. */
  get output (): readonly string[] {
    return this.lines
  }

  /** Its process id. */
  get pid (): number {
    return this.child.pid ?? 0
  }

  /** Whether it runs. */
  get isRunning (): boolean {
    return !this.hasExited
  }

  /**
   * Starts a bundled program and waits for a line.
   *
   * @param bundle - the file to run
   * @param args - its arguments
   * @param ready - finds the port in the line that is waited for
   * @returns the process and the port
   */
  static async start (bundle: string, args: readonly string[], ready: (line: string) => number | undefined):
  Promise<{ child: Child, port: number }> {
    const started = new Child(spawn(process.execPath, [bundle, ...args], { stdio: ['ignore', 'pipe', 'inherit'] }))
    const port = await new Promise<number>((resolve, reject) => {
      const timer = setTimeout(() => reject(new Error(`${bundle} ${args.join(' ')}: not ready`)), START_TIMEOUT_MS)
      void started.exit.then(code => reject(new Error(`${bundle} ${args.join(' ')}: ended with ${code}`)))
      started.follow(line => {
        const found = ready(line)
        if (found === undefined) return
        clearTimeout(timer)
        resolve(found)
      })
    })
    return { child: started, port }
  }

  /** @param signal - sent to the process */
  signal (signal: NodeJS.Signals): void {
    if (this.isRunning) this.child.kill(signal)
  }

  /** Ends it at once. */
  async kill (): Promise<void> {
    this.signal('SIGCONT')
    this.signal('SIGKILL')
    await this.exit
  }

  /** @returns its exit code, once it ends */
  wait (): Promise<number> {
    return this.exit
  }

  private follow (onLine: (line: string) => void): void {
    let rest = ''
    this.child.stdout?.setEncoding('utf8')
    this.child.stdout?.on('data', (text: string) => {
      const parts = (rest + text).split('\n')
      rest = parts.pop() ?? ''
      for (const line of parts) {
        this.lines.push(line)
        if (this.lines.length > KEPT_LINES) this.lines.shift()
        onLine(line)
      }
    })
  }
}
