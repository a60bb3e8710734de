import { Suspects } from './suspects.js'

/** How long after its connection broke a request may be what its server crashed from, in milliseconds. */
const CRASH_WINDOW_MS = 3_000

/** How long a crash is remembered, in milliseconds. */
const RETENTION_MS = 120_000

/** Servers that a request may crash; after one more it is refused. */
const CRASHES_TO_REFUSE = 3

/** Broken requests that are remembered until their server is seen to be lost. */
const GREATEST_BROKEN = 1_024

interface Broken {
  readonly fingerprint: string
  readonly server: string
  readonly at: number
}

/** Tells requests that crash servers from those whose connection merely broke: the server is lost right after. */
export class Crashes {
  private readonly suspects = new Suspects(RETENTION_MS, CRASHES_TO_REFUSE)
  private broken: Broken[] = []

  /**
   * Notes a request whose connection broke.
   *
   * @param fingerprint - of the request
   * @param server - the id of the server that had it
   * @param now - steady time, in milliseconds
   */
  broke (fingerprint: string, server: string, now: number): void {
    this.broken.push({ fingerprint, server, at: now })
    if (this.broken.length > GREATEST_BROKEN) this.broken.shift()
  }

  /**
   * Notes that a server can't be reached or began a new life.
   *
   * @param server - its id
   * @param now - steady time, in milliseconds
   */
  lost (server: string, now: number): void {
    const [mine, others] = [[] as Broken[], [] as Broken[]]
    for (const one of this.broken) (one.server === server ? mine : others).push(one)
    this.broken = others
    for (const { fingerprint, at } of mine) {
      if (now - at <= CRASH_WINDOW_MS) this.suspects.note(fingerprint, server, now)
    }
  }

  /**
   * @param fingerprint - of a request
   * @param now - steady time, in milliseconds
   * @returns whether it crashed so many servers that it is refused
   */
  isConvicted (fingerprint: string, now: number): boolean {
    return this.suspects.isConvicted(fingerprint, now)
  }
}
