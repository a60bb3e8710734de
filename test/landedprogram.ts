import { execFileSync } from 'node:child_process'
import { existsSync, mkdtempSync, readFileSync, rmSync, symlinkSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join, resolve } from 'node:path'

/** The program of a landed build, bundled from the repository's history in a directory of its own. */
export class LandedProgram {
  private constructor (private readonly directory: string) {}

  /**
   * @param commit - the commit to build
   * @returns the program; undefined if the repository has no such commit
   */
  static build (commit: string): LandedProgram | undefined {
    if (!hasCommit(commit)) return undefined
    const directory = mkdtempSync(join(tmpdir(), 'marigoldvalve-'))
    const archive = join(directory, 'sources.tar')
    execFileSync('git', ['archive', '--output', archive, commit])
    execFileSync('tar', ['-xf', archive, '-C', directory])
    installLibraries(directory)
    execFileSync(process.execPath, ['tools/bundle.js'], { cwd: directory })
    return new LandedProgram(directory)
  }

  /** Path of the bundled program. */
  get path (): string {
    return join(this.directory, 'target/marigoldvalve.cjs')
  }

  /** Removes the directory. */
  remove (): void {
    rmSync(this.directory, { recursive: true })
  }
}

/** @returns the commit whose build runs while this one is rolled out, from the deploy file */
export function productionCommit (): string {
  return /^production = "(\w+)"$/m.exec(readFileSync('deploy/system.toml', 'utf8'))![1]!
}

function hasCommit (commit: string): boolean {
  try {
    execFileSync('git', ['cat-file', '-e', `${commit}^{commit}`], { stdio: 'ignore' })
    return true
  } catch {
    return false
  }
}

/** Uses the libraries of this working copy if the build declares the same ones. */
function installLibraries (directory: string): void {
  const lock = readFileSync(join(directory, 'package-lock.json'), 'utf8')
  if (existsSync('node_modules') && lock === readFileSync('package-lock.json', 'utf8')) {
    symlinkSync(resolve('node_modules'), join(directory, 'node_modules'))
  } else {
    execFileSync('npm', ['ci', '--silent', '--no-audit', '--no-fund'], { cwd: directory })
  }
}
