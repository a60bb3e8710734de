import type { BlockedPart, Crash } from './crash.js'
import type { BlockedPartSummary, CrashEvidence, CrashSummary } from './evidence.js'

/** What is known of prompt parts that crash servers. */
export type PartEvidence = Pick<CrashEvidence, 'crashes' | 'blocked'>

/** Number of crashes after which a part that has never been in a complete response is blocked. */
export const PART_THRESHOLD = 3

/** Number of crashes after which a part is blocked that was sound before, or that others could replace as the cause. */
const CERTAIN_THRESHOLD = 5

/** How long a part stays blocked and a crash counts, in milliseconds: the parts come again all day. */
const RETENTION_MS = 24 * 3_600_000

/** Longest time between an event at a server and its report by the slowest host, in milliseconds. */
export const REPORT_DELAY_MS = 300

/** Greatest number of crashes, and of blocked parts, that are kept. */
const MAX_ENTRIES = 128

/** Greatest number of accused parts that are kept for one crash. */
const MAX_PARTS_PER_CRASH = 256

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
  /** Increases with each change of the evidence. */
  revision = 0

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
    this.revision++
    const known = this.crashes.find(crash => crash.server === server)
    if ([...this.blocked.values()].some(({ servers }) => servers.has(server))) return []
    const explanations = parts.filter(part => this.blocked.has(part))
    if (explanations.length > 0) {
      for (const part of explanations) this.blocked.get(part)!.servers.add(server)
      this.crashes = this.crashes.filter(crash => crash !== known)
      return []
    }
    this.accuse(server, parts, now)
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
      for (const crash of this.crashes) if (crash.parts.delete(part)) this.revision++
    }
    this.crashes = this.crashes.filter(crash => crash.parts.size > 0)
    while (this.sound.size > MAX_SOUND_PARTS) this.sound.delete(this.sound.values().next().value!)
    const unblocked = parts.filter(part => this.blocked.delete(part))
    this.revision += unblocked.length
    return unblocked
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
    const remaining = this.crashes.filter(crash => crash.server !== server || !isRefuted(crash.at))
    this.revision += this.crashes.length - remaining.length
    this.crashes = remaining
    const unblocked = []
    for (const [part, { servers, at }] of this.blocked) {
      if (!isRefuted(at) || !servers.delete(server)) continue
      this.revision++
      if (servers.size >= PART_THRESHOLD) continue
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

  /**
   * @param now - monotonic time, in milliseconds
   * @returns the crashes and blocked parts, for other schedulers
   */
  evidence (now: number): PartEvidence {
    return {
      crashes: this.crashes.map(({ server, parts, at }) => ({ server, parts: [...parts], ageMs: now - at })),
      blocked: [...this.blocked].map(([part, { servers, at }]) => ({ part, servers: [...servers], ageMs: now - at }))
    }
  }

  /**
   * Adds the evidence of another scheduler. Parts are blocked for it only if they were blocked there.
   *
   * @param evidence - its crashes and blocked parts
   * @param now - monotonic time, in milliseconds
   */
  adopt ({ crashes, blocked }: PartEvidence, now: number): void {
    for (const summary of blocked) this.adoptBlockedPart(summary, now)
    for (const summary of crashes) this.adoptCrash(summary, now)
    this.expire(now)
  }

  /** Forgets all crashes and blocked parts. */
  clear (): void {
    this.crashes = []
    this.blocked.clear()
    this.revision++
  }

  private adoptBlockedPart ({ part, servers, ageMs }: BlockedPartSummary, now: number): void {
    const known = this.blocked.get(part)
    if (known === undefined) this.block(part, new Set(servers), now - ageMs)
    for (const server of servers) if (known?.servers.has(server) === false) known.servers.add(server)
  }

  private adoptCrash ({ server, parts, ageMs }: CrashSummary, now: number): void {
    if ([...this.blocked.values()].some(({ servers }) => servers.has(server))) return
    if (!parts.some(part => this.blocked.has(part))) this.accuse(server, parts, now - ageMs)
  }

  private accuse (server: string, parts: readonly string[], at: number): void {
    const known = this.crashes.find(crash => crash.server === server)
    const accused = known?.parts ?? new Set()
    const before = accused.size
    for (const part of parts) if (accused.size < MAX_PARTS_PER_CRASH) accused.add(part)
    if (known === undefined && accused.size > 0) this.crashes.push({ server, parts: accused, at })
    if (this.crashes.length > MAX_ENTRIES) this.crashes.shift()
    if (accused.size > before) this.revision++
  }

  private block (part: string, servers: Set<string>, at: number): void {
    this.blocked.set(part, { servers, at })
    this.crashes = this.crashes.filter(crash => !crash.parts.has(part))
    if (this.blocked.size > MAX_ENTRIES) this.blocked.delete(this.blocked.keys().next().value!)
    this.revision++
  }

  /** Blocks those of some accused parts that no other part can replace as the cause of their crashes. */
  private blockCulprits (parts: readonly string[], now: number): string[] {
    const culprits = parts.filter(part => this.isCulprit(part))
    const crashes = [...this.crashes]
    for (const part of culprits) {
      this.block(part, new Set(crashes.filter(crash => crash.parts.has(part)).map(crash => crash.server)), now)
    }
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
