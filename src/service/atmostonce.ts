import { ok, type Result } from 'neverthrow'
import { type Clock, timeId } from '../base/index.js'
import { type ClaimFailure, claimOf, ClaimPhase, type Claims, type Held, nextMove } from '../claim/index.js'
import type { PlatformFailure } from '../platform/index.js'
import { CLOCK_SKEW_MS } from '../record/index.js'
import type { Forward, ServiceAnswer, ServiceClient } from './client.js'
import type { ServiceFailure } from './failure.js'
import type { CallOutcome } from './outcome.js'
import type { Pool } from './pool.js'

/** A call that may not be repeated. */
export interface OnceCall {
  readonly key: string
  /** Whether this host made the key, so that nobody else can send it. */
  readonly isMinted: boolean
  readonly fingerprint: string
  readonly forward: Forward
  /** When the call arrived, in milliseconds since the epoch. */
  readonly arrived: number
}

const WAIT_PAUSE_MS = 200
const RETRY_AFTER_MS = 5_000
/** A call sent within this time after it was barred counts as sent before; less than the time to come back. */
const BARRED_MS = 4_000
/** How long an answer that could not be recorded is tried again, in milliseconds. */
const RECORD_FOR_MS = 600_000
const RECORD_PAUSE_MS = 1_000
const RECORD_LONGEST_PAUSE_MS = 15_000

/**
 * Executes calls that may not be repeated. The claim stands in the table
 * before the call is sent; whoever finds it there waits for its answer.
 */
export class Once {
  /**
   * @param client - calls workers
   * @param claims - the claims in the table
   * @param member - tells this member's id
   * @param clock - the present time
   */
  constructor (
    private readonly client: ServiceClient,
    private readonly claims: Claims,
    private readonly member: () => string,
    private readonly clock: Clock
  ) {}

  /**
   * Executes a call, or finds what another attempt has made of it.
   *
   * @param pool - the service's workers
   * @param call - the call
   * @returns the answer, or whether it ran
   */
  async run (pool: Pool, call: OnceCall): Promise<CallOutcome> {
    const attempt = timeId(this.clock.now())
    const deadline = this.clock.now() + call.forward.timeoutMs
    const first = await this.firstRead(call)
    if (first.isErr()) return unknown('table-unavailable')
    for (let held = first.value; ;) {
      if (isBarredFor(call, held)) return await this.barAgain(call, held, attempt)
      const move = nextMove(held, call.fingerprint)
      if (move.move === 'claim') {
        const claimed = await this.claim(call, held, attempt)
        if (claimed.isOk()) return await this.execute(pool, call, claimed.value, attempt)
        if (claimed.error.code === 'unknown') return this.undecided(call, held, attempt)
      } else if (move.move === 'replay') {
        return await this.replay(move.answer)
      } else if (move.move === 'mismatch') {
        return { outcome: 'mismatch' }
      } else if (move.move === 'lost') {
        return unknown('answer-lost')
      } else if (this.clock.now() >= deadline) {
        return unknown('in-flight')
      } else {
        await this.clock.sleep(WAIT_PAUSE_MS)
      }
      const read = await this.claims.read(call.key)
      if (read.isErr()) return unknown('table-unavailable')
      held = read.value
    }
  }

  private async firstRead (call: OnceCall): Promise<Result<Held, PlatformFailure>> {
    if (call.isMinted) return ok({ version: 0, claim: undefined })
    return await this.claims.read(call.key)
  }

  private async claim (call: OnceCall, held: Held, attempt: string): Promise<Result<Held, ClaimFailure>> {
    const claim = claimOf(ClaimPhase.dispatched, call.fingerprint, attempt, this.member(), this.clock.now())
    return await this.claims.write(call.key, held, claim)
  }

  /** The claim may or may not stand. This attempt will not execute the call, and says so in the table later. */
  private undecided (call: OnceCall, before: Held, attempt: string): CallOutcome {
    const claim = claimOf(ClaimPhase.dispatched, call.fingerprint, attempt, this.member(), this.clock.now())
    void this.release(call, { version: before.version + 1, claim }, attempt)
    if (call.isMinted) return { outcome: 'not-run', reason: 'table-unavailable', retryAfterMs: RETRY_AFTER_MS }
    return unknown('table-unavailable')
  }

  private async execute (pool: Pool, call: OnceCall, held: Held, attempt: string): Promise<CallOutcome> {
    const tried = new Set<string>()
    for (;;) {
      const worker = pool.choose(tried, this.clock.now())
      if (worker === undefined) return await this.notRun(call, held, attempt)
      tried.add(worker.name)
      pool.sent(worker.name)
      const result = await this.client.send(worker.address, call.forward)
      pool.done(worker.name, result.isOk(), this.clock.now())
      // Another worker may be tried only if this one certainly never got the call.
      if (result.isErr() && result.error.code === 'unsent') continue
      return await this.settle(call, held, attempt, result)
    }
  }

  private async settle (
    call: OnceCall, held: Held, attempt: string, result: Result<ServiceAnswer, ServiceFailure>
  ): Promise<CallOutcome> {
    if (result.isErr()) {
      void this.record(call, held, ClaimPhase.lost, attempt)
      return unknown(result.error.code)
    }
    const answer = result.value
    const first = await this.recordOnce(call, held, ClaimPhase.answered, attempt, answer)
    if (!first) void this.record(call, held, ClaimPhase.answered, attempt, answer)
    return { outcome: 'answered', answer }
  }

  private async notRun (call: OnceCall, held: Held, attempt: string): Promise<CallOutcome> {
    const barredAt = this.clock.now()
    const barred = await this.recordOnce(call, held, ClaimPhase.barred, attempt)
    if (!barred) void this.record(call, held, ClaimPhase.barred, attempt)
    if (!(barred && this.covers(barredAt)) && !call.isMinted) return unknown('no-worker')
    return { outcome: 'not-run', reason: 'no-worker', retryAfterMs: RETRY_AFTER_MS }
  }

  /** Says "not run" of an attempt that was sent before the call was barred; what was sent since is barred too. */
  private async barAgain (call: OnceCall, held: Held, attempt: string): Promise<CallOutcome> {
    const barredAt = this.clock.now()
    const claim = claimOf(ClaimPhase.barred, call.fingerprint, attempt, this.member(), barredAt)
    const written = await this.claims.write(call.key, held, claim)
    if (written.isErr() || !this.covers(barredAt)) return unknown('barred')
    return { outcome: 'not-run', reason: 'barred', retryAfterMs: RETRY_AFTER_MS }
  }

  /** Whether a bar covers every attempt sent until now: one that took too long does not. */
  private covers (barredAt: number): boolean {
    return this.clock.now() + CLOCK_SKEW_MS <= barredAt + BARRED_MS
  }

  private async replay (kept: Parameters<Claims['unpack']>[0]): Promise<CallOutcome> {
    const body = await this.claims.unpack(kept)
    if (body.isErr()) return unknown('objects-unavailable')
    if (body.value === undefined) return unknown('answer-lost')
    return { outcome: 'answered', answer: { status: kept.status, contentType: kept.contentType, body: body.value } }
  }

  /** Bars a claim of this attempt, should its write have taken effect after all. */
  private async release (call: OnceCall, held: Held, attempt: string): Promise<void> {
    const until = this.clock.now() + RECORD_FOR_MS
    for (let pause = RECORD_PAUSE_MS; this.clock.now() < until; pause = Math.min(pause * 2, RECORD_LONGEST_PAUSE_MS)) {
      await this.clock.sleep(pause)
      const read = await this.claims.read(call.key)
      if (read.isErr()) continue
      if (read.value.claim?.attempt !== attempt || read.value.claim.phase !== ClaimPhase.dispatched) return
      if (await this.recordOnce(call, held, ClaimPhase.barred, attempt)) return
    }
  }

  private async record (
    call: OnceCall, held: Held, phase: ClaimPhase, attempt: string, answer?: ServiceAnswer
  ): Promise<void> {
    const until = this.clock.now() + RECORD_FOR_MS
    for (let pause = RECORD_PAUSE_MS; this.clock.now() < until; pause = Math.min(pause * 2, RECORD_LONGEST_PAUSE_MS)) {
      await this.clock.sleep(pause)
      if (await this.recordOnce(call, held, phase, attempt, answer)) return
    }
  }

  /** @returns whether nothing more is to be recorded */
  private async recordOnce (
    call: OnceCall, held: Held, phase: ClaimPhase, attempt: string, answer?: ServiceAnswer
  ): Promise<boolean> {
    const kept = answer === undefined
      ? undefined
      : await this.claims.pack(call.key, answer.status, answer.contentType, answer.body)
    if (kept?.isErr() === true) return false
    const now = this.clock.now()
    const packed = kept?.isOk() === true ? kept.value : undefined
    const claim = claimOf(phase, call.fingerprint, attempt, this.member(), now, packed)
    const written = await this.claims.write(call.key, held, claim)
    return written.isOk() || written.error.code === 'raced'
  }
}

/** Whoever barred the call told its caller that no attempt sent until then will run it. */
function isBarredFor (call: OnceCall, held: Held): boolean {
  return held.claim?.phase === ClaimPhase.barred && call.arrived <= held.claim.at + BARRED_MS
}

function unknown (reason: string): CallOutcome {
  return { outcome: 'unknown', reason, retryAfterMs: RETRY_AFTER_MS }
}
