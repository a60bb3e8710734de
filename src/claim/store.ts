import { err, ok, type Result } from 'neverthrow'
import { type Clock, digest, Failure, SECOND_MS } from '../base/index.js'
import { type ObjectStore, type PlatformFailure, type Row, type Table, WriteCondition } from '../platform/index.js'
import { type Claim, ClaimPhase, type StoredAnswer, type VersionedClaim } from './claim.js'

/**
 * Why a claim could not be written:
 * - `raced`: another attempt wrote it first, so it must be read again.
 * - `unknown`: the table did not answer, so the write may or may not have taken effect.
 */
export class ClaimFailure extends Failure<'raced' | 'unknown'> {}

/** Longest body stored in a row, in bytes. Longer ones go to the object store. */
const MAX_ROW_BODY_BYTES = 64 << 10

/** How many times the row is read after a failed write before the outcome of the write is reported as unknown. */
const MAX_LOOKUPS = 4
const FIRST_LOOKUP_DELAY_MS = 150

function rowAddress (key: string): { partition: string, sortKey: string } {
  return { partition: `claim/${digest(key)}`, sortKey: 'claim' }
}

/** Reads and writes the claims of calls that may not be repeated, one row each in the platform's table. */
export class ClaimStore {
  /**
   * @param table - stores the claims
   * @param objects - stores answers that are too long for a row
   * @param retentionMs - how long a claim is kept after its last change, in milliseconds
   * @param clock - times the delays between lookups
   */
  constructor (
    private readonly table: Table,
    private readonly objects: ObjectStore,
    private readonly retentionMs: number,
    private readonly clock: Clock
  ) {}

  /**
   * Reads the claim on a call.
   *
   * @param key - the call's idempotency key
   * @returns the claim with its version, which is 0 if there is no row
   */
  async read (key: string): Promise<Result<VersionedClaim, PlatformFailure>> {
    return await this.table.get(rowAddress(key)).map(row => row === undefined
      ? { version: 0, claim: undefined }
      : { version: row.version, claim: JSON.parse(row.body) as Claim })
  }

  /**
   * Writes the next version of a claim.
   *
   * @param key - the call's idempotency key
   * @param current - the claim that the change is based on; the write fails if the row has changed since
   * @param claim - the new claim
   * @returns the new claim with its version
   */
  async write (key: string, current: VersionedClaim, claim: Claim): Promise<Result<VersionedClaim, ClaimFailure>> {
    const row: Row = {
      ...rowAddress(key),
      version: current.version + 1,
      body: JSON.stringify(claim),
      expiresAtS: Math.ceil((claim.at + this.retentionMs) / SECOND_MS)
    }
    const result = await this.table.put(row, current.version === 0 ? WriteCondition.absent : WriteCondition.nextVersion)
    const written = { version: row.version, claim }
    if (result.isOk()) return ok(written)
    return await this.resolveFailedWrite(key, written, result.error)
  }

  /**
   * Converts an answer to its stored form. A long body is put in the object store.
   *
   * @param key - the call's idempotency key
   * @param status - the HTTP status
   * @param contentType - the content type of the body
   * @param body - the whole body
   * @returns the answer in the form that a claim holds
   */
  async storeAnswer (key: string, status: number, contentType: string, body: Buffer):
  Promise<Result<StoredAnswer, PlatformFailure>> {
    if (body.length <= MAX_ROW_BODY_BYTES) {
      return ok({ status, contentType, body: body.toString('base64'), object: '' })
    }
    const object = `answers/${digest(key)}`
    return await this.objects.put(object, body.toString('base64'))
      .map(() => ({ status, contentType, body: '', object }))
  }

  /**
   * Loads the body of a stored answer.
   *
   * @param answer - an answer in the form that a claim holds
   * @returns the body, or undefined if its object no longer exists
   */
  async loadBody (answer: StoredAnswer): Promise<Result<Buffer | undefined, PlatformFailure>> {
    if (answer.object === '') return ok(Buffer.from(answer.body, 'base64'))
    return await this.objects.get(answer.object)
      .map(text => text === undefined ? undefined : Buffer.from(text, 'base64'))
  }

  /** Finds out whether a write has taken effect although the table rejected it or its reply was lost. */
  private async resolveFailedWrite (
    key: string, written: VersionedClaim, cause: PlatformFailure
  ): Promise<Result<VersionedClaim, ClaimFailure>> {
    for (let lookup = 0; lookup < MAX_LOOKUPS; lookup++) {
      const read = await this.read(key)
      if (read.isOk()) {
        const { version, claim } = read.value
        if (version === written.version && isSameWrite(claim, written.claim)) return ok(written)
        if (version >= written.version || cause.code === 'conflict') return err(claimFailure('raced', cause))
      }
      await this.clock.sleep(FIRST_LOOKUP_DELAY_MS * 2 ** lookup)
    }
    return err(claimFailure('unknown', cause))
  }
}

function isSameWrite (a: Claim | undefined, b: Claim | undefined): boolean {
  return a?.attempt === b?.attempt && a?.phase === b?.phase
}

function claimFailure (code: 'raced' | 'unknown', cause: PlatformFailure): ClaimFailure {
  return new ClaimFailure('ClaimFailure', { code, cause }, cause.message)
}

/**
 * Creates a claim.
 *
 * @param phase - how far the attempt has come
 * @param fingerprint - hash of the call
 * @param attempt - id of the attempt that writes the claim
 * @param member - id of the member that runs the attempt
 * @param now - the current time, in milliseconds since the epoch
 * @param answer - the stored answer, if the phase is `answered`
 * @returns the claim to write
 */
export function createClaim (
  phase: ClaimPhase, fingerprint: string, attempt: string, member: string, now: number, answer?: StoredAnswer
): Claim {
  return { phase, fingerprint, attempt, member, at: now, answer }
}
