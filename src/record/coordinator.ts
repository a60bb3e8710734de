import { err, ok, type Result } from 'neverthrow'
import type { View } from '../member/index.js'
import type { Copies, RecordFailure } from './replicas.js'
import { receive } from './reconcile.js'
import { bornAt, mintedBy } from './key.js'
import { Ledger } from './store.js'
import { KeyLock } from './lock.js'
import { bar, begin, drop, type KeyRecord, open, type Place, type Ruling, withdraw } from './record.js'

/** A step that an entry or owner asks of a key's home. */
export type Step =
  | { readonly step: 'open', readonly key: string, readonly fingerprint: string, readonly arrived: number }
  | { readonly step: 'begin', readonly key: string, readonly fingerprint: string, readonly place: Place }
  | { readonly step: 'bar', readonly key: string, readonly fingerprint: string }
  | { readonly step: 'drop', readonly key: string, readonly fingerprint: string, readonly place: Place }
  | { readonly step: 'withdraw', readonly key: string, readonly fingerprint: string, readonly place: Place }

/** The answer to a step. */
export type Answer =
  | Ruling
  /** Every holder of the record died: nothing can be said of the key. */
  | { readonly ruling: 'lost' }
  /** This host can't rule now. */
  | { readonly ruling: 'unavailable', readonly reason: string }

/** What the home needs to know of its host. */
export interface Standing {
  /** This member's id. */
  readonly self: () => string
  /** The view in force. */
  view (): View
  /** Whether this host is likely cut off from most others. */
  isIsolated (now: number): boolean
  /** The time after a call to another host, in milliseconds since the epoch. */
  now (): number
}

const HANDOVER_RECORDS = 500

/**
 * The one place that says whether a key was already dispatched. A dispatch is
 * granted only after a second member has the record too, and only while this
 * host is in touch with most of those it watches.
 */
export class Home {
  private readonly ledger: Ledger
  private readonly lock = new KeyLock()

  /**
   * @param standing - what the host knows of itself and of the others
   * @param copies - the records that others hold
   * @param retentionMs - how long records are kept, in milliseconds
   */
  constructor (private readonly standing: Standing, private readonly copies: Copies, retentionMs: number) {
    this.ledger = new Ledger(retentionMs)
  }

  /** How many records this host holds. */
  get size (): number {
    return this.ledger.size
  }

  /**
   * Takes a step on a key's record.
   *
   * @param step - the step
   * @param now - the present time, in milliseconds since the epoch
   * @returns the ruling; `unavailable` if this host may not rule on the key
   */
  take (step: Step, now: number): Promise<Answer> {
    const reason = this.unfit(step.key, now)
    if (reason !== undefined) return Promise.resolve({ ruling: 'unavailable', reason })
    return this.lock.run(step.key, () => this.rule(step, now))
  }

  /**
   * Keeps a copy for the key's home.
   *
   * @param record - the record
   * @param from - the member that says it is the home
   * @param now - the present time, in milliseconds since the epoch
   * @returns what is then held, or undefined if this host is cut off or the sender is not the home in its view
   */
  keep (record: KeyRecord, from: string, now: number): KeyRecord | undefined {
    if (this.standing.isIsolated(now)) return undefined
    if (this.standing.view().holders(record.key)[0] !== from) return undefined
    const kept = receive(this.ledger.get(record.key), record)
    this.ledger.set(kept)
    return kept
  }

  /**
   * Takes over records after a change of view.
   *
   * @param records - the records
   */
  adopt (records: readonly KeyRecord[]): void {
    for (const record of records) this.ledger.set(receive(this.ledger.get(record.key), record))
  }

  /**
   * @param key - a request's key
   * @returns this host's record for it, as home, copy or former holder
   */
  find (key: string): KeyRecord | undefined {
    return this.ledger.get(key)
  }

  /** Forgets all records: others have replaced this host, so what it holds may be out of date. */
  clear (): void {
    this.ledger.clear()
  }

  /**
   * Forgets records past their retention.
   *
   * @param now - the present time, in milliseconds since the epoch
   */
  expire (now: number): void {
    this.ledger.expire(now)
  }

  /**
   * Gives records to members that became holders.
   *
   * @param before - the view until now
   * @param after - the view from now on
   * @returns nothing, or the first failure met
   */
  async rebalance (before: View, after: View): Promise<Result<void, RecordFailure>> {
    const moves = new Map<string, KeyRecord[]>()
    for (const record of this.ledger.values()) {
      if (mintedBy(record.key) !== undefined) continue
      for (const member of newHolders(record.key, before, after)) {
        if (member === this.standing.self()) continue
        const list = moves.get(member) ?? []
        list.push(record)
        moves.set(member, list)
      }
    }
    const results = await Promise.all([...moves].map(([member, records]) => this.send(member, records)))
    return results.find(result => result.isErr()) ?? ok(undefined)
  }

  private async send (member: string, records: readonly KeyRecord[]): Promise<Result<void, RecordFailure>> {
    for (let at = 0; at < records.length; at += HANDOVER_RECORDS) {
      const result = await this.copies.handover(member, records.slice(at, at + HANDOVER_RECORDS))
      if (result.isErr()) return err(result.error)
    }
    return ok(undefined)
  }

  private unfit (key: string, now: number): string | undefined {
    const minter = mintedBy(key)
    if (minter !== undefined) return minter === this.standing.self() ? undefined : 'the key was minted elsewhere'
    if (this.standing.isIsolated(now)) return 'cut off from most other hosts'
    return this.standing.view().holders(key)[0] === this.standing.self() ? undefined : 'not the home of the key'
  }

  private async rule (step: Step, now: number): Promise<Answer> {
    const before = await this.recall(step.key, now)
    if (before.isErr()) return { ruling: 'unavailable', reason: before.error.message }
    if (before.value?.place === undefined && this.mayBeLost(step.key, now)) return { ruling: 'lost' }
    const ruling = apply(step, before.value, now)
    if (ruling.ruling !== 'done') return ruling
    if (step.step === 'open' || mintedBy(step.key) !== undefined) {
      this.ledger.set(ruling.record)
      return ruling
    }
    return await this.copyOut(step, ruling.record, now)
  }

  /** Has the other holder keep the record; what it knows may change the ruling. */
  private async copyOut (step: Step, record: KeyRecord, now: number): Promise<Answer> {
    const holders = this.standing.view().holders(step.key)
    for (const member of holders.slice(1)) {
      const kept = await this.copies.copy(member, record)
      if (kept.isErr()) return { ruling: 'unavailable', reason: kept.error.message }
      const ruling = apply(step, kept.value, now)
      if (ruling.ruling !== 'done') {
        this.ledger.set(receive(this.ledger.get(step.key), kept.value))
        return ruling
      }
    }
    if (this.standing.view().holders(step.key).join() !== holders.join()) {
      return { ruling: 'unavailable', reason: 'the view changed' }
    }
    // This host may have been frozen during the call, and been replaced meanwhile.
    const reason = this.unfit(step.key, this.standing.now())
    if (reason !== undefined) return { ruling: 'unavailable', reason }
    this.ledger.set(record)
    return { ruling: 'done', record }
  }

  /** A record without a dispatch proves nothing either: another holder may have known of one. */
  private mayBeLost (key: string, now: number): boolean {
    return mintedBy(key) === undefined && this.standing.view().mayBeLost(key, bornAt(key, now))
  }

  /** What is known of a key here and, shortly after a change of view, at those who held it before. */
  private async recall (key: string, now: number): Promise<Result<KeyRecord | undefined, RecordFailure>> {
    let known = this.ledger.get(key)
    if (known?.place !== undefined || mintedBy(key) !== undefined) return ok(known)
    for (const member of this.standing.view().formerHolders(key, now)) {
      const recalled = await this.copies.recall(member, key)
      if (recalled.isErr()) return err(recalled.error)
      if (recalled.value !== undefined) known = receive(known, recalled.value)
    }
    return ok(known)
  }
}

function newHolders (key: string, before: View, after: View): string[] {
  const old = before.holders(key)
  return after.holders(key).filter(member => !old.includes(member))
}

function apply (step: Step, before: KeyRecord | undefined, now: number): Ruling {
  switch (step.step) {
    case 'open': return open(before, step.key, step.fingerprint, step.arrived, now)
    case 'begin': return begin(before, step.key, step.fingerprint, step.place, now)
    case 'bar': return bar(before, step.key, step.fingerprint, now)
    case 'drop': return drop(before, step.key, step.fingerprint, step.place.attempt, now)
    case 'withdraw': {
      const record = before ?? begin(undefined, step.key, step.fingerprint, step.place, now).record
      return { ruling: 'done', record: withdraw(record, step.place.responseId, now) }
    }
  }
}
