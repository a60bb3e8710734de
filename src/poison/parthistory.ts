import type { BlockedPart, Crash } from './crash.js'

/** Number of crashes after which a part that has never been in a complete response is blocked. */
export const PART_THRESHOLD = 3

/** Number of crashes after which a part is blocked that was sound before, or that others could replace as the cause. */
const CERTAIN_THRESHOLD = 5

/** How long a part stays blocked and a crash counts, in milliseconds: the parts come again all day. */
const RETENTION_MS = 24 * 3_600_000

/** Longest time between an event at a server and its report by the slowest host, in milliseconds. */
export const REPORT_DELAY_MS = 300

/** Greatest number of crashes, and of blocked parts, that are kept. */
const MAX_ENTRIES = 256

/** Greatest number of parts with a complete response that are kept. */
const MAX_SOUND_PARTS = 4_096

/**
 * Finds the prompt parts that crash each server that runs a request with them. A crash accuses all shared parts of the
 * interrupted requests; a complete response clears the parts of its request, which a crashing part never gets. A
 * blocked part explains each crash that it was present at, so that these crashes accuse no other part.
 */
export class PartHistory {
  private crashes: Crash[] = []
  private readonly blocked = new Map<string, BlockedPart>()
  /** Parts with a complete response, the least recent first. */
  private readonly sound = new Set<string>()

  /**
   * Records a crash, or further interrupted requests of a known one.
   *
   * @param server - incarnation of the server
   * @param parts - shared prompt parts of the interrupted requests
   * @param now - monotonic time, in milliseconds
   * @returns the parts that are blocked from now on
   */
  recordCrash (server: string, parts: readonly string[], now: number): string[] {
    this.expire(now)
    const known = this.crashes.find(crash => crash.server === server)
    if ([...this.blocked.values()].some(({ servers }) => servers.has(server))) return []
    const explanations = parts.filter(part => this.blocked.has(part))
    if (explanations.length > 0) {
      for (const part of explanations) this.blocked.get(part)!.servers.add(server)
      this.crashes = this.crashes.filter(crash => crash !== known)
      return []
    }
    if (known !== undefined) for (const part of parts) known.parts.add(part)
    else if (parts.length > 0) this.crashes.push({ server, parts: new Set(parts), at: now })
    if (this.crashes.length > MAX_ENTRIES) this.crashes.shift()
    return this.blockCulprits(parts, now)
  }

  /**
   * Clears the parts of a request with a complete response.
   *
   * @param parts - shared prompt parts of the request
   * @returns the parts that are no longer blocked
   */
  recordCompletion (parts: readonly string[]): string[] {
    for (const part of parts) {
      this.sound.delete(part)
      this.sound.add(part)
      for (const crash of this.crashes) crash.parts.delete(part)
    }
    this.crashes = this.crashes.filter(crash => crash.parts.size > 0)
    while (this.sound.size > MAX_SOUND_PARTS) this.sound.delete(this.sound.values().next().value!)
    return parts.filter(part => this.blocked.delete(part))
  }

  /**
   * Discards a crash of a server that responds after all.
   *
   * @param server - incarnation of the server
   * @param now - when a response arrived, monotonic time in milliseconds
   * @returns the parts that are no longer blocked
   */
  recordResponse (server: string, now: number): string[] {
    const isRefuted = (at: number): boolean => now - at > REPORT_DELAY_MS
    this.crashes = this.crashes.filter(crash => crash.server !== server || !isRefuted(crash.at))
    const unblocked = []
    for (const [part, { servers, at }] of this.blocked) {
      if (!isRefuted(at) || !servers.delete(server) || servers.size >= PART_THRESHOLD) continue
      this.blocked.delete(part)
      unblocked.push(part)
    }
    return unblocked
  }

  /**
   * @param parts - shared prompt parts of a request
   * @param now - monotonic time, in milliseconds
   * @returns whether one of them is blocked
   */
  isBlocked (parts: readonly string[], now: number): boolean {
    if (this.blocked.size === 0) return false
    return parts.some(part => now - (this.blocked.get(part)?.at ?? -Infinity) < RETENTION_MS)
  }

  /**
   * @param part - a shared prompt part
   * @returns whether the part may have crashed a server and has never been in a complete response
   */
  isSuspect (part: string): boolean {
    return !this.sound.has(part) && this.crashes.some(crash => crash.parts.has(part))
  }

  /** @returns the number of crashes that each part is accused of, and the blocked parts, for a dump */
  dump (): unknown {
    return {
      crashes: this.crashes.map(({ server, parts }) => ({ server, parts: [...parts] })),
      blocked: [...this.blocked].map(([part, { servers }]) => ({ part, servers: [...servers] }))
    }
  }

  /** Blocks those of some accused parts that no other part can replace as the cause of their crashes. */
  private blockCulprits (parts: readonly string[], now: number): string[] {
    const culprits = parts.filter(part => this.isCulprit(part))
    for (const part of culprits) {
      const servers = new Set(this.crashes.filter(crash => crash.parts.has(part)).map(crash => crash.server))
      this.blocked.set(part, { servers, at: now })
    }
    this.crashes = this.crashes.filter(crash => !culprits.some(part => crash.parts.has(part)))
    if (this.blocked.size > MAX_ENTRIES) this.blocked.delete(this.blocked.keys().next().value!)
    return culprits
  }

  private isCulprit (part: string): boolean {
    const crashes = this.crashes.filter(crash => crash.parts.has(part))
    if (crashes.length < PART_THRESHOLD) return false
    const isSound = this.sound.has(part)
    const alternatives = [...crashes[0]!.parts].filter(other => {
      return other !== part && this.sound.has(other) <= isSound && crashes.every(crash => crash.parts.has(other))
    })
    if (!isSound && alternatives.length === 0) return true
    return crashes.length >= CERTAIN_THRESHOLD && alternatives.every(other => this.sound.has(other) === isSound)
  }

  private expire (now: number): void {
    this.crashes = this.crashes.filter(({ at }) => now - at < RETENTION_MS)
    for (const [part, { at }] of this.blocked) if (now - at >= RETENTION_MS) this.blocked.delete(part)
  }
}
