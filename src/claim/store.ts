import { err, ok, type Result } from 'neverthrow'
import { type Clock, digest, Failure, SECOND_MS } from '../base/index.js'
import { Condition, type Objects, type PlatformFailure, type Row, type Table } from '../platform/index.js'
import { type Claim, ClaimPhase, type Held, type KeptAnswer } from './claim.js'

/**
 * Why a claim could not be changed:
 * - `raced`: another attempt changed it first; it must be read again.
 * - `unknown`: the table did not answer; the change may or may not stand.
 */
export class ClaimFailure extends Failure<'raced' | 'unknown'> {}

/** Longest body kept in a row, in bytes; longer ones go to the object store. */
const GREATEST_ROW_BODY_BYTES = 64 << 10

/** How often a write whose answer was lost is looked up before it counts as unknown. */
const LOOKUPS = 4
const LOOKUP_PAUSE_MS = 150

function address (key: string): { partition: string, sort: string } {
  return { partition: `claim/${digest(key)}`, sort: 'claim' }
}

/** The claims of calls that may not be repeated, one row each in the platform's table. */
export class Claims {
  /**
   * @param table - holds the claims
   * @param objects - holds long answers
   * @param retentionMs - how long a claim is kept after its last change, in milliseconds
   * @param clock - waits between lookups
   */
  constructor (
    private readonly table: Table,
    private readonly objects: Objects,
    private readonly retentionMs: number,
    private readonly clock: Clock
  ) {}

  /**
   * @param key - the call's key
   * @returns what the table holds for it
   */
  async read (key: string): Promise<Result<Held, PlatformFailure>> {
    return await this.table.get(address(key)).map(row => row === undefined
      ? { version: 0, claim: undefined }
      : { version: row.version, claim: JSON.parse(row.body) as Claim })
  }

  /**
   * Writes the next version of a claim.
   *
   * @param key - the call's key
   * @param held - what the change was decided on
   * @param claim - the claim from now on
   * @returns the claim as held now
   */
  async write (key: string, held: Held, claim: Claim): Promise<Result<Held, ClaimFailure>> {
    const row: Row = {
      ...address(key),
      version: held.version + 1,
      body: JSON.stringify(claim),
      expires: Math.ceil((claim.at + this.retentionMs) / SECOND_MS)
    }
    const written = await this.table.put(row, held.version === 0 ? Condition.absent : Condition.next)
    const now = { version: row.version, claim }
    if (written.isOk()) return ok(now)
    return await this.settle(key, now, written.error)
  }

  /**
   * Keeps an answer, in the row if it is short.
   *
   * @param key - the call's key
   * @param status - the HTTP status
   * @param contentType - the body's type
   * @param body - the body
   * @returns the answer in the form that a claim holds
   */
  async pack (key: string, status: number, contentType: string, body: Buffer):
  Promise<Result<KeptAnswer, PlatformFailure>> {
    if (body.length <= GREATEST_ROW_BODY_BYTES) {
      return ok({ status, contentType, body: body.toString('base64'), object: '' })
    }
    const object = `answers/${digest(key)}`
    return await this.objects.put(object, body.toString('base64'))
      .map(() => ({ status, contentType, body: '', object }))
  }

  /**
   * @param answer - an answer as a claim holds it
   * @returns its body, or undefined if the object that held it is gone
   */
  async unpack (answer: KeptAnswer): Promise<Result<Buffer | undefined, PlatformFailure>> {
    if (answer.object === '') return ok(Buffer.from(answer.body, 'base64'))
    return await this.objects.get(answer.object)
      .map(text => text === undefined ? undefined : Buffer.from(text, 'base64'))
  }

  /** Finds out whether a write stands whose answer was negative or lost. */
  private async settle (key: string, wanted: Held, cause: PlatformFailure): Promise<Result<Held, ClaimFailure>> {
    for (let lookup = 0; lookup < LOOKUPS; lookup++) {
      const read = await this.read(key)
      if (read.isOk()) {
        const { version, claim } = read.value
        if (version === wanted.version && isSame(claim, wanted.claim)) return ok(wanted)
        if (version >= wanted.version || cause.code === 'conflict') return err(failure('raced', cause))
      }
      await this.clock.sleep(LOOKUP_PAUSE_MS * 2 ** lookup)
    }
    return err(failure('unknown', cause))
  }
}

function isSame (a: Claim | undefined, b: Claim | undefined): boolean {
  return a?.attempt === b?.attempt && a?.phase === b?.phase
}

function failure (code: 'raced' | 'unknown', cause: PlatformFailure): ClaimFailure {
  return new ClaimFailure('ClaimFailure', { code, cause }, cause.message)
}

/**
 * Builds the claim of an attempt.
 *
 * @param phase - how far it has come
 * @param fingerprint - hash of the call
 * @param attempt - the attempt's id
 * @param member - the member it runs on
 * @param now - the present time, in milliseconds since the epoch
 * @param answer - the answer, once there is one
 * @returns the claim
 */
export function claimOf (
  phase: ClaimPhase, fingerprint: string, attempt: string, member: string, now: number, answer?: KeptAnswer
): Claim {
  return { phase, fingerprint, attempt, member, at: now, answer }
}
