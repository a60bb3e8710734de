import { err, ok, type Result } from 'neverthrow'
import type { MembershipView } from '../member/index.js'
import type { RecordFailure, Replicas } from './replicas.js'
import { reconcile } from './reconcile.js'
import { creationTime, mintedBy } from './key.js'
import { RecordStore } from './store.js'
import { KeyLock } from './lock.js'
import {
  abandonAttempt, type Decision, type DispatchLocation, fenceAttempts, grantDispatch, type KeyRecord, openAttempt,
  withdrawDispatch
} from './record.js'

/** An operation that an entry host or owner requests from a key's coordinator. */
export type RecordOperation =
  /** Opens a new attempt. */
  | { readonly kind: 'open', readonly key: string, readonly fingerprint: string, readonly arrived: number }
  /** Grants the dispatch of an attempt. */
  | { readonly kind: 'begin', readonly key: string, readonly fingerprint: string, readonly place: DispatchLocation }
  /** Fences all attempts opened or sent so far. */
  | { readonly kind: 'bar', readonly key: string, readonly fingerprint: string }
  /** Abandons one attempt that was not dispatched. */
  | { readonly kind: 'drop', readonly key: string, readonly fingerprint: string, readonly place: DispatchLocation }
  /** Withdraws a granted dispatch that did not happen. */
  | { readonly kind: 'withdraw', readonly key: string, readonly fingerprint: string, readonly place: DispatchLocation }

/** The reply to an operation. */
export type CoordinatorReply =
  | Decision
  /** All replicas of the record may have failed, so whether the key was dispatched is unknown. */
  | { readonly status: 'lost' }
  /** This host can't decide at the moment. */
  | { readonly status: 'unavailable', readonly reason: string }

/** What the coordinator needs to know about its own host. */
export interface CoordinatorContext {
  /** Returns this member's id. */
  readonly self: () => string
  /** Returns the current membership view. */
  view (): MembershipView
  /** Whether this host has probably lost contact with most other hosts. */
  isIsolated (now: number): boolean
  /** Reads the clock, for checks after a call to another host; in milliseconds since the epoch. */
  now (): number
}

const TRANSFER_BATCH_RECORDS = 500

/**
 * Decides, for the keys that this host coordinates, whether an attempt may be dispatched. A dispatch is granted only
 * after a second member has stored the record, and only while this host is in contact with most of the hosts
 * that it monitors. Also stores the records for which this host is a replica.
 */
export class KeyCoordinator {
  private readonly records: RecordStore
  private readonly lock = new KeyLock()

  /**
   * @param context - this host's id, membership view and clock
   * @param replicas - access to the records that other members store
   * @param retentionMs - how long an unchanged record is kept, in milliseconds
   */
  constructor (private readonly context: CoordinatorContext, private readonly replicas: Replicas, retentionMs: number) {
    this.records = new RecordStore(retentionMs)
  }

  /** The number of records that this host stores. */
  get size (): number {
    return this.records.size
  }

  /**
   * Applies an operation to a key's record. Operations on the same key run one after the other.
   *
   * @param operation - the operation, which names the key
   * @param now - the current time, in milliseconds since the epoch
   * @returns the decision; `unavailable` if this host may not decide for the key
   */
  execute (operation: RecordOperation, now: number): Promise<CoordinatorReply> {
    const reason = this.refusalReason(operation.key, now)
    if (reason !== undefined) return Promise.resolve({ status: 'unavailable', reason })
    return this.lock.run(operation.key, () => this.decide(operation, now))
  }

  /**
   * Stores a record as a replica, at the request of the key's coordinator.
   *
   * @param record - the record to reconcile with the stored one
   * @param from - id of the member that claims to be the coordinator
   * @param now - the current time, in milliseconds since the epoch
   * @returns the stored record, or undefined if this host is isolated or its view names another coordinator
   */
  storeReplica (record: KeyRecord, from: string, now: number): KeyRecord | undefined {
    if (this.context.isIsolated(now)) return undefined
    if (this.context.view().replicas(record.key)[0] !== from) return undefined
    const stored = reconcile(this.records.get(record.key), record)
    this.records.set(stored)
    return stored
  }

  /**
   * Stores records that another member transferred after a change of the membership view.
   *
   * @param records - the records to reconcile with the stored ones
   */
  acceptTransfer (records: readonly KeyRecord[]): void {
    for (const record of records) this.records.set(reconcile(this.records.get(record.key), record))
  }

  /**
   * Looks up a record on this host, whether it is the key's coordinator, a replica or a former replica.
   *
   * @param key - an idempotency key
   * @returns the stored record, or undefined
   */
  find (key: string): KeyRecord | undefined {
    return this.records.get(key)
  }

  /** Removes all records. They may be out of date once other members have replaced this host. */
  clear (): void {
    this.records.clear()
  }

  /**
   * Removes records that have not changed within the retention time.
   *
   * @param now - the current time, in milliseconds since the epoch
   */
  expire (now: number): void {
    this.records.expire(now)
  }

  /**
   * Transfers records to the members that became replicas for them.
   *
   * @param before - the previous membership view
   * @param after - the new membership view
   * @returns nothing, or one of the failures if transfers to some members failed
   */
  async rebalance (before: MembershipView, after: MembershipView): Promise<Result<void, RecordFailure>> {
    const transfers = new Map<string, KeyRecord[]>()
    for (const record of this.records.values()) {
      if (mintedBy(record.key) !== undefined) continue
      for (const member of addedReplicas(record.key, before, after)) {
        if (member === this.context.self()) continue
        const list = transfers.get(member) ?? []
        list.push(record)
        transfers.set(member, list)
      }
    }
    const results = await Promise.all([...transfers].map(([member, records]) => this.transfer(member, records)))
    return results.find(result => result.isErr()) ?? ok(undefined)
  }

  private async transfer (member: string, records: readonly KeyRecord[]): Promise<Result<void, RecordFailure>> {
    for (let start = 0; start < records.length; start += TRANSFER_BATCH_RECORDS) {
      const result = await this.replicas.transferRecords(member, records.slice(start, start + TRANSFER_BATCH_RECORDS))
      if (result.isErr()) return err(result.error)
    }
    return ok(undefined)
  }

  /** Returns why this host may not decide for a key, or undefined if it may. */
  private refusalReason (key: string, now: number): string | undefined {
    const minter = mintedBy(key)
    if (minter !== undefined) return minter === this.context.self() ? undefined : 'another member minted the key'
    if (this.context.isIsolated(now)) return 'this host has lost contact with most other hosts'
    return this.context.view().replicas(key)[0] === this.context.self()
      ? undefined
      : 'this host is not the coordinator of the key'
  }

  private async decide (operation: RecordOperation, now: number): Promise<CoordinatorReply> {
    const current = await this.loadRecord(operation.key, now)
    if (current.isErr()) return { status: 'unavailable', reason: current.error.message }
    if (current.value?.place === undefined && this.mayBeLost(operation.key, now)) return { status: 'lost' }
    const decision = applyOperation(operation, current.value, now)
    if (decision.status !== 'done') return decision
    if (operation.kind === 'open' || mintedBy(operation.key) !== undefined) {
      this.records.set(decision.record)
      return decision
    }
    return await this.replicate(operation, decision.record, now)
  }

  /** Stores the record on the other replicas, then here. A replica's own record may change the decision. */
  private async replicate (operation: RecordOperation, record: KeyRecord, now: number): Promise<CoordinatorReply> {
    const members = this.context.view().replicas(operation.key)
    for (const member of members.slice(1)) {
      const stored = await this.replicas.writeRecord(member, record)
      if (stored.isErr()) return { status: 'unavailable', reason: stored.error.message }
      const decision = applyOperation(operation, stored.value, now)
      if (decision.status !== 'done') {
        this.records.set(reconcile(this.records.get(operation.key), stored.value))
        return decision
      }
    }
    if (this.context.view().replicas(operation.key).join() !== members.join()) {
      return { status: 'unavailable', reason: 'the replicas of the key changed during replication' }
    }
    // This host may have been frozen during the calls, and another host may have replaced it in the meantime.
    const reason = this.refusalReason(operation.key, this.context.now())
    if (reason !== undefined) return { status: 'unavailable', reason }
    this.records.set(record)
    return { status: 'done', record }
  }

  /**
   * Whether all replicas of a key's record may have failed. A record without a dispatch does not rule this out:
   * another replica may have known of one.
   */
  private mayBeLost (key: string, now: number): boolean {
    return mintedBy(key) === undefined && this.context.view().mayHaveLostRecord(key, creationTime(key, now))
  }

  /** Loads a key's record from this host and, shortly after a change of view, from the key's former replicas. */
  private async loadRecord (key: string, now: number): Promise<Result<KeyRecord | undefined, RecordFailure>> {
    let record = this.records.get(key)
    if (record?.place !== undefined || mintedBy(key) !== undefined) return ok(record)
    for (const member of this.context.view().formerReplicas(key, now)) {
      const remote = await this.replicas.readRecord(member, key)
      if (remote.isErr()) return err(remote.error)
      if (remote.value !== undefined) record = reconcile(record, remote.value)
    }
    return ok(record)
  }
}

/** Returns the members that are replicas for a key in the new view and were not in the previous one. */
function addedReplicas (key: string, before: MembershipView, after: MembershipView): string[] {
  const previous = before.replicas(key)
  return after.replicas(key).filter(member => !previous.includes(member))
}

function applyOperation (operation: RecordOperation, current: KeyRecord | undefined, now: number): Decision {
  switch (operation.kind) {
    case 'open': return openAttempt(current, operation.key, operation.fingerprint, operation.arrived, now)
    case 'begin': return grantDispatch(current, operation.key, operation.fingerprint, operation.place, now)
    case 'bar': return fenceAttempts(current, operation.key, operation.fingerprint, now)
    case 'drop': return abandonAttempt(current, operation.key, operation.fingerprint, operation.place.attempt, now)
    case 'withdraw': {
      const record = current ??
        grantDispatch(undefined, operation.key, operation.fingerprint, operation.place, now).record
      return { status: 'done', record: withdrawDispatch(record, operation.place.responseId, now) }
    }
  }
}
