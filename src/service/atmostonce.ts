import { ok, type Result } from 'neverthrow'
import { type Clock, uuidV7 } from '../base/index.js'
import {
  type ClaimFailure, ClaimPhase, type ClaimStore, createClaim, nextAction, type VersionedClaim
} from '../claim/index.js'
import type { PlatformFailure } from '../platform/index.js'
import { CLOCK_SKEW_MS } from '../record/index.js'
import type { ForwardedCall, ServiceAnswer, ServiceClient } from './client.js'
import type { ServiceFailure } from './failure.js'
import type { CallOutcome } from './outcome.js'
import type { WorkerPool } from './pool.js'

/** A call that must not be executed more than once. */
export interface AtMostOnceCall {
  readonly key: string
  /** Whether this host generated the key, so that no other host can receive a call with it. */
  readonly isMinted: boolean
  /** Hash of the call. Another call with the same key is refused. */
  readonly fingerprint: string
  readonly request: ForwardedCall
  /** When the call arrived at this host, in milliseconds since the epoch. */
  readonly arrivedAt: number
}

const POLL_INTERVAL_MS = 200
const RETRY_AFTER_MS = 5_000
/**
 * A call that arrives within this time after a fence was written counts as sent before it, in milliseconds. Less than
 * RETRY_AFTER_MS, so that a caller that retries after that time is not refused again.
 */
const FENCE_WINDOW_MS = 4_000
/** How long the write of a claim is retried in the background, in milliseconds. */
const WRITE_RETRY_TIMEOUT_MS = 600_000
const WRITE_RETRY_DELAY_MS = 1_000
const MAX_WRITE_RETRY_DELAY_MS = 15_000

/**
 * Executes calls at most once. Each attempt writes a claim to the table before it sends the call. An attempt that finds
 * the claim of another attempt waits for its answer instead of executing the call.
 */
export class AtMostOnceExecutor {
  /**
   * @param client - sends calls to workers
   * @param claims - reads and writes the claims in the table
   * @param memberId - returns this member's id
   * @param clock - reads the current time and times the delays
   */
  constructor (
    private readonly client: ServiceClient,
    private readonly claims: ClaimStore,
    private readonly memberId: () => string,
    private readonly clock: Clock
  ) {}

  /**
   * Executes a call, or determines the outcome of an earlier attempt.
   *
   * @param pool - the service's workers
   * @param call - the call with its idempotency key
   * @returns the answer, or whether the call was executed
   */
  async run (pool: WorkerPool, call: AtMostOnceCall): Promise<CallOutcome> {
    const attempt = uuidV7(this.clock.now())
    const deadline = this.clock.now() + call.request.timeoutMs
    const first = await this.readFirst(call)
    if (first.isErr()) return unknown('table-unavailable')
    for (let current = first.value; ;) {
      if (isFenced(call, current)) return await this.renewFence(call, current, attempt)
      const next = nextAction(current, call.fingerprint)
      if (next.action === 'claim') {
        const claimed = await this.writeClaim(call, current, attempt)
        if (claimed.isOk()) return await this.execute(pool, call, claimed.value, attempt)
        if (claimed.error.code === 'unknown') return this.giveUpClaim(call, current, attempt)
      } else if (next.action === 'replay') {
        return await this.replay(next.answer)
      } else if (next.action === 'mismatch') {
        return { outcome: 'mismatch' }
      } else if (next.action === 'lost') {
        return unknown('answer-lost')
      } else if (this.clock.now() >= deadline) {
        return unknown('in-flight')
      } else {
        await this.clock.sleep(POLL_INTERVAL_MS)
      }
      const read = await this.claims.read(call.key)
      if (read.isErr()) return unknown('table-unavailable')
      current = read.value
    }
  }

  private async readFirst (call: AtMostOnceCall): Promise<Result<VersionedClaim, PlatformFailure>> {
    if (call.isMinted) return ok({ version: 0, claim: undefined })
    return await this.claims.read(call.key)
  }

  private async writeClaim (
    call: AtMostOnceCall, current: VersionedClaim, attempt: string
  ): Promise<Result<VersionedClaim, ClaimFailure>> {
    const claim = createClaim(ClaimPhase.dispatched, call.fingerprint, attempt, this.memberId(), this.clock.now())
    return await this.claims.write(call.key, current, claim)
  }

  /**
   * Gives up after a write of the claim that may or may not have taken effect. This attempt will not execute the
   * call. A claim that did take effect is fenced in the background.
   */
  private giveUpClaim (call: AtMostOnceCall, current: VersionedClaim, attempt: string): CallOutcome {
    const claim = createClaim(ClaimPhase.dispatched, call.fingerprint, attempt, this.memberId(), this.clock.now())
    void this.fenceOwnClaim(call, { version: current.version + 1, claim }, attempt)
    if (call.isMinted) return { outcome: 'not-run', reason: 'table-unavailable', retryAfterMs: RETRY_AFTER_MS }
    return unknown('table-unavailable')
  }

  private async execute (
    pool: WorkerPool, call: AtMostOnceCall, claimed: VersionedClaim, attempt: string
  ): Promise<CallOutcome> {
    const tried = new Set<string>()
    for (;;) {
      const worker = pool.choose(tried, this.clock.now())
      if (worker === undefined) return await this.fenceUnsent(call, claimed, attempt)
      tried.add(worker.name)
      pool.recordSend(worker.name)
      const result = await this.client.send(worker.address, call.request)
      pool.recordOutcome(worker.name, result.isOk(), this.clock.now())
      // Another worker may be tried only if this one certainly did not receive the call.
      if (result.isErr() && result.error.code === 'unsent') continue
      return await this.recordResult(call, claimed, attempt, result)
    }
  }

  private async recordResult (
    call: AtMostOnceCall, claimed: VersionedClaim, attempt: string, result: Result<ServiceAnswer, ServiceFailure>
  ): Promise<CallOutcome> {
    if (result.isErr()) {
      void this.retryUpdateClaim(call, claimed, ClaimPhase.lost, attempt)
      return unknown(result.error.code)
    }
    const answer = result.value
    const isClaimUpdated = await this.tryUpdateClaim(call, claimed, ClaimPhase.answered, attempt, answer)
    if (!isClaimUpdated) void this.retryUpdateClaim(call, claimed, ClaimPhase.answered, attempt, answer)
    return { outcome: 'answered', answer }
  }

  /** Fences a call that no worker received. */
  private async fenceUnsent (call: AtMostOnceCall, claimed: VersionedClaim, attempt: string): Promise<CallOutcome> {
    const fencedAt = this.clock.now()
    const isClaimUpdated = await this.tryUpdateClaim(call, claimed, ClaimPhase.barred, attempt)
    if (!isClaimUpdated) void this.retryUpdateClaim(call, claimed, ClaimPhase.barred, attempt)
    if (!(isClaimUpdated && this.isFenceCurrent(fencedAt)) && !call.isMinted) return unknown('no-worker')
    return { outcome: 'not-run', reason: 'no-worker', retryAfterMs: RETRY_AFTER_MS }
  }

  /** Reports a call that was sent before the fence as "not run", and renews the fence to cover calls sent since. */
  private async renewFence (call: AtMostOnceCall, current: VersionedClaim, attempt: string): Promise<CallOutcome> {
    const fencedAt = this.clock.now()
    const claim = createClaim(ClaimPhase.barred, call.fingerprint, attempt, this.memberId(), fencedAt)
    const written = await this.claims.write(call.key, current, claim)
    if (written.isErr() || !this.isFenceCurrent(fencedAt)) return unknown('barred')
    return { outcome: 'not-run', reason: 'barred', retryAfterMs: RETRY_AFTER_MS }
  }

  /** Whether a fence covers every attempt sent until now. A fence that took too long to write does not. */
  private isFenceCurrent (fencedAt: number): boolean {
    return this.clock.now() + CLOCK_SKEW_MS <= fencedAt + FENCE_WINDOW_MS
  }

  private async replay (stored: Parameters<ClaimStore['loadBody']>[0]): Promise<CallOutcome> {
    const body = await this.claims.loadBody(stored)
    if (body.isErr()) return unknown('objects-unavailable')
    if (body.value === undefined) return unknown('answer-lost')
    return {
      outcome: 'answered', answer: { status: stored.status, contentType: stored.contentType, body: body.value }
    }
  }

  /** Fences the claim of this attempt if its write did take effect. */
  private async fenceOwnClaim (call: AtMostOnceCall, claimed: VersionedClaim, attempt: string): Promise<void> {
    const until = this.clock.now() + WRITE_RETRY_TIMEOUT_MS
    for (
      let delay = WRITE_RETRY_DELAY_MS;
      this.clock.now() < until;
      delay = Math.min(delay * 2, MAX_WRITE_RETRY_DELAY_MS)
    ) {
      await this.clock.sleep(delay)
      const read = await this.claims.read(call.key)
      if (read.isErr()) continue
      if (read.value.claim?.attempt !== attempt || read.value.claim.phase !== ClaimPhase.dispatched) return
      if (await this.tryUpdateClaim(call, claimed, ClaimPhase.barred, attempt)) return
    }
  }

  /** Retries the write of the claim in the background until it succeeds or the time-out has passed. */
  private async retryUpdateClaim (
    call: AtMostOnceCall, claimed: VersionedClaim, phase: ClaimPhase, attempt: string, answer?: ServiceAnswer
  ): Promise<void> {
    const until = this.clock.now() + WRITE_RETRY_TIMEOUT_MS
    for (
      let delay = WRITE_RETRY_DELAY_MS;
      this.clock.now() < until;
      delay = Math.min(delay * 2, MAX_WRITE_RETRY_DELAY_MS)
    ) {
      await this.clock.sleep(delay)
      if (await this.tryUpdateClaim(call, claimed, phase, attempt, answer)) return
    }
  }

  /** @returns whether no further write is needed: the claim was written, or another attempt has changed it */
  private async tryUpdateClaim (
    call: AtMostOnceCall, claimed: VersionedClaim, phase: ClaimPhase, attempt: string, answer?: ServiceAnswer
  ): Promise<boolean> {
    const stored = answer === undefined
      ? undefined
      : await this.claims.storeAnswer(call.key, answer.status, answer.contentType, answer.body)
    if (stored?.isErr() === true) return false
    const now = this.clock.now()
    const storedAnswer = stored?.isOk() === true ? stored.value : undefined
    const claim = createClaim(phase, call.fingerprint, attempt, this.memberId(), now, storedAnswer)
    const written = await this.claims.write(call.key, claimed, claim)
    return written.isOk() || written.error.code === 'raced'
  }
}

/**
 * Whether a fence covers the call. The attempt that wrote the fence has reported "not run", so no attempt sent
 * before that may execute the call.
 */
function isFenced (call: AtMostOnceCall, current: VersionedClaim): boolean {
  return current.claim?.phase === ClaimPhase.barred && call.arrivedAt <= current.claim.at + FENCE_WINDOW_MS
}

function unknown (reason: string): CallOutcome {
  return { outcome: 'unknown', reason, retryAfterMs: RETRY_AFTER_MS }
}
