/** Where a request was dispatched to. */
export interface Place {
  readonly server: string
  /** The id under which the engine runs it. */
  readonly responseId: string
  /** The attempt that was dispatched. */
  readonly attempt: number
}

/** What the home knows of one idempotency key. */
export interface KeyRecord {
  readonly key: string
  /** Hash of the request's body: the same key with another body is refused. */
  readonly fingerprint: string
  /** The newest attempt that was opened. */
  readonly opened: number
  /** Attempts up to this one may never be dispatched. */
  readonly barred: number
  /** Attempts that arrived at their entry up to this time may not be opened any more. */
  readonly closed: number
  /** Set once dispatch was granted; then it stays unless withdrawn. */
  readonly place: Place | undefined
  /** Ids of the latest dispatches that were granted but certainly did not happen. */
  readonly withdrawn: readonly string[]
  /** When the record last changed, in milliseconds since the epoch. */
  readonly at: number
}

/** What a step on a record comes to. */
export type Ruling =
  /** The step was taken: the attempt is open, or its dispatch granted, or barred. */
  | { readonly ruling: 'done', readonly record: KeyRecord }
  /** The request was dispatched by another attempt. */
  | { readonly ruling: 'dispatched', readonly record: KeyRecord, readonly place: Place }
  /** The attempt was barred; it may not be dispatched. */
  | { readonly ruling: 'barred', readonly record: KeyRecord }
  /** The key stands for another request. */
  | { readonly ruling: 'mismatch', readonly record: KeyRecord }

/** How far the clock of a host may be from the true time, in milliseconds. */
export const CLOCK_SKEW_MS = 500

/** After "not run" was said, a request sent again within this time counts as sent before it, in milliseconds. */
export const BAR_MS = 2_000

const WITHDRAWN_KEPT = 16

function fresh (key: string, fingerprint: string, now: number): KeyRecord {
  return { key, fingerprint, opened: 0, barred: 0, closed: 0, place: undefined, withdrawn: [], at: now }
}

function mismatch (record: KeyRecord | undefined, fingerprint: string): Ruling | undefined {
  return record !== undefined && record.fingerprint !== fingerprint ? { ruling: 'mismatch', record } : undefined
}

/**
 * Opens a new attempt for a key. Attempts are numbered from the clock, so
 * that a new home's numbers follow an old one's.
 *
 * @param before - the record, if there is one
 * @param key - the key
 * @param fingerprint - hash of the request's body
 * @param arrived - when the attempt arrived at its entry, by that host's clock, in milliseconds since the epoch
 * @param now - the present time, in milliseconds since the epoch
 * @returns `done` with the attempt's number in `record.opened`, or where the request already is, or `barred`
 */
export function open (
  before: KeyRecord | undefined, key: string, fingerprint: string, arrived: number, now: number
): Ruling {
  const wrong = mismatch(before, fingerprint)
  if (wrong !== undefined) return wrong
  if (before?.place !== undefined) return { ruling: 'dispatched', record: before, place: before.place }
  const record = before ?? fresh(key, fingerprint, now)
  if (arrived <= record.closed) return { ruling: 'barred', record }
  const opened = Math.max(now, record.opened + 1, record.barred + 1)
  return { ruling: 'done', record: { ...record, opened, at: now } }
}

/**
 * Grants or denies the dispatch of an attempt. Granting the same attempt
 * again is harmless: its answer may have been lost.
 *
 * @param before - the record, if there is one
 * @param key - the key
 * @param fingerprint - hash of the request's body
 * @param place - where the attempt would be dispatched to
 * @param now - the present time, in milliseconds since the epoch
 * @returns `done` if it may be dispatched
 */
export function begin (
  before: KeyRecord | undefined, key: string, fingerprint: string, place: Place, now: number
): Ruling {
  const wrong = mismatch(before, fingerprint)
  if (wrong !== undefined) return wrong
  const record = before ?? fresh(key, fingerprint, now)
  if (record.place !== undefined) {
    if (record.place.responseId === place.responseId) return { ruling: 'done', record }
    return { ruling: 'dispatched', record, place: record.place }
  }
  if (place.attempt <= record.barred || record.withdrawn.includes(place.responseId)) {
    return { ruling: 'barred', record }
  }
  return { ruling: 'done', record: { ...record, opened: Math.max(record.opened, place.attempt), place, at: now } }
}

/**
 * Bars every attempt opened or sent so far, so that "not run" may be said.
 *
 * @param before - the record, if there is one
 * @param key - the key
 * @param fingerprint - hash of the request's body
 * @param now - the present time, in milliseconds since the epoch
 * @returns `done` if none of them was dispatched or ever will be
 */
export function bar (before: KeyRecord | undefined, key: string, fingerprint: string, now: number): Ruling {
  const wrong = mismatch(before, fingerprint)
  if (wrong !== undefined) return wrong
  const record = before ?? fresh(key, fingerprint, now)
  if (record.place !== undefined) return { ruling: 'dispatched', record, place: record.place }
  const barred = Math.max(record.barred, record.opened, now + BAR_MS)
  const closed = Math.max(record.closed, now + BAR_MS)
  return { ruling: 'done', record: { ...record, barred, closed, at: now } }
}

/**
 * Tells whether "not run" may be said now. A bar that took too long, say
 * because a host was frozen, no longer covers requests sent meanwhile.
 *
 * @param record - the record as barred
 * @param now - the present time where it is said, in milliseconds since the epoch
 * @returns whether the bar covers every attempt sent until now
 */
export function isClosed (record: KeyRecord, now: number): boolean {
  return now + CLOCK_SKEW_MS <= record.closed
}

/**
 * Gives up one attempt, so that another may be opened for the same request.
 *
 * @param before - the record, if there is one
 * @param key - the key
 * @param fingerprint - hash of the request's body
 * @param attempt - the attempt
 * @param now - the present time, in milliseconds since the epoch
 * @returns `done` if the attempt was not dispatched and never will be
 */
export function drop (
  before: KeyRecord | undefined, key: string, fingerprint: string, attempt: number, now: number
): Ruling {
  const wrong = mismatch(before, fingerprint)
  if (wrong !== undefined) return wrong
  const record = before ?? fresh(key, fingerprint, now)
  if (record.place !== undefined) return { ruling: 'dispatched', record, place: record.place }
  return { ruling: 'done', record: { ...record, barred: Math.max(record.barred, attempt), at: now } }
}

/**
 * Takes back a granted dispatch that certainly did not happen.
 *
 * @param record - the record
 * @param responseId - the id of the dispatch
 * @param now - the present time, in milliseconds since the epoch
 * @returns the record without the place, its attempt barred; unchanged if another dispatch stands
 */
export function withdraw (record: KeyRecord, responseId: string, now: number): KeyRecord {
  if (record.place?.responseId !== responseId) return record
  const barred = Math.max(record.barred, record.place.attempt)
  const withdrawn = [...record.withdrawn, responseId].slice(-WITHDRAWN_KEPT)
  return { ...record, barred, place: undefined, withdrawn, at: now }
}

/**
 * Joins what two holders know of a key. Nothing that either knows is
 * forgotten; a dispatch barred on one side but granted on the other stands.
 *
 * @param a - one holder's record
 * @param b - the other's
 * @returns the joint record
 */
export function merge (a: KeyRecord, b: KeyRecord): KeyRecord {
  const withdrawn = [...new Set([...a.withdrawn, ...b.withdrawn])].slice(-WITHDRAWN_KEPT)
  const places = [a.place, b.place].filter(place => place !== undefined && !withdrawn.includes(place.responseId))
  return {
    key: a.key,
    fingerprint: a.fingerprint,
    opened: Math.max(a.opened, b.opened),
    barred: Math.max(a.barred, b.barred),
    closed: Math.max(a.closed, b.closed),
    place: places[0],
    withdrawn,
    at: Math.max(a.at, b.at)
  }
}
