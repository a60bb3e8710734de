/** Which server a request was dispatched to, and under which response id. */
export interface DispatchLocation {
  readonly server: string
  /** The id under which the backend server runs the request. */
  readonly responseId: string
  /** The number of the attempt that was dispatched. */
  readonly attempt: number
}

/** The state of one idempotency key. */
export interface KeyRecord {
  readonly key: string
  /** Hash of the request body. A request with the same key and another body is refused. */
  readonly fingerprint: string
  /** The number of the newest attempt that was opened. */
  readonly opened: number
  /** Attempts numbered up to this value are fenced: they may never be dispatched. */
  readonly barred: number
  /** Attempts that reached their entry host up to this time may no longer be opened; in ms since the epoch. */
  readonly closed: number
  /** Where the request was dispatched to, once a dispatch was granted. Only a withdrawal clears it. */
  readonly place: DispatchLocation | undefined
  /** Response ids of the latest dispatches that were granted and then withdrawn. */
  readonly withdrawn: readonly string[]
  /** When the record last changed, in milliseconds since the epoch. */
  readonly at: number
}

/** The result of an operation on a record. */
export type Decision =
  /** The operation was applied, and `record` is the new state. */
  | { readonly status: 'done', readonly record: KeyRecord }
  /** The request is already dispatched, to `place`. */
  | { readonly status: 'dispatched', readonly record: KeyRecord, readonly place: DispatchLocation }
  /** The attempt is fenced and may not be dispatched. */
  | { readonly status: 'barred', readonly record: KeyRecord }
  /** The key belongs to a request with another body. */
  | { readonly status: 'mismatch', readonly record: KeyRecord }

/** Largest assumed difference between a host's clock and true time, in milliseconds. */
export const CLOCK_SKEW_MS = 500

/**
 * How far into the future a fence reaches, in milliseconds. A request that the caller sends again within this time
 * after a reply "not run" is treated as if it had been sent before the reply.
 */
export const FENCE_WINDOW_MS = 2_000

const MAX_WITHDRAWN_IDS = 16

function createRecord (key: string, fingerprint: string, now: number): KeyRecord {
  return { key, fingerprint, opened: 0, barred: 0, closed: 0, place: undefined, withdrawn: [], at: now }
}

function checkFingerprint (record: KeyRecord | undefined, fingerprint: string): Decision | undefined {
  return record !== undefined && record.fingerprint !== fingerprint ? { status: 'mismatch', record } : undefined
}

/**
 * Opens a new attempt for a key. Attempt numbers derive from the clock, so that the numbers of a new coordinator
 * follow those of its predecessor.
 *
 * @param current - the record, if there is one
 * @param key - the idempotency key
 * @param fingerprint - hash of the request body
 * @param arrived - when the request reached its entry host, by that host's clock, in milliseconds since the epoch
 * @param now - the current time, in milliseconds since the epoch
 * @returns `done` with the attempt number in `record.opened`; `dispatched` if the request was dispatched already;
 *   `barred` if it arrived before the key was fenced; `mismatch` if the key belongs to another request
 */
export function openAttempt (
  current: KeyRecord | undefined, key: string, fingerprint: string, arrived: number, now: number
): Decision {
  const mismatch = checkFingerprint(current, fingerprint)
  if (mismatch !== undefined) return mismatch
  if (current?.place !== undefined) return { status: 'dispatched', record: current, place: current.place }
  const record = current ?? createRecord(key, fingerprint, now)
  if (arrived <= record.closed) return { status: 'barred', record }
  const opened = Math.max(now, record.opened + 1, record.barred + 1)
  return { status: 'done', record: { ...record, opened, at: now } }
}

/**
 * Grants or denies the dispatch of an attempt. Granting the same attempt twice is safe, and necessary when the
 * reply to the first grant was lost.
 *
 * @param current - the record, if there is one
 * @param key - the idempotency key
 * @param fingerprint - hash of the request body
 * @param location - where the attempt would be dispatched to
 * @param now - the current time, in milliseconds since the epoch
 * @returns `done` if the attempt may be dispatched
 */
export function grantDispatch (
  current: KeyRecord | undefined, key: string, fingerprint: string, location: DispatchLocation, now: number
): Decision {
  const mismatch = checkFingerprint(current, fingerprint)
  if (mismatch !== undefined) return mismatch
  const record = current ?? createRecord(key, fingerprint, now)
  if (record.place !== undefined) {
    if (record.place.responseId === location.responseId) return { status: 'done', record }
    return { status: 'dispatched', record, place: record.place }
  }
  if (location.attempt <= record.barred || record.withdrawn.includes(location.responseId)) {
    return { status: 'barred', record }
  }
  return {
    status: 'done',
    record: { ...record, opened: Math.max(record.opened, location.attempt), place: location, at: now }
  }
}

/**
 * Fences every attempt that was opened or sent so far, so that "not run" may be reported to the caller.
 *
 * @param current - the record, if there is one
 * @param key - the idempotency key
 * @param fingerprint - hash of the request body
 * @param now - the current time, in milliseconds since the epoch
 * @returns `done` if none of these attempts was dispatched or ever will be
 */
export function fenceAttempts (
  current: KeyRecord | undefined, key: string, fingerprint: string, now: number
): Decision {
  const mismatch = checkFingerprint(current, fingerprint)
  if (mismatch !== undefined) return mismatch
  const record = current ?? createRecord(key, fingerprint, now)
  if (record.place !== undefined) return { status: 'dispatched', record, place: record.place }
  const barred = Math.max(record.barred, record.opened, now + FENCE_WINDOW_MS)
  const closed = Math.max(record.closed, now + FENCE_WINDOW_MS)
  return { status: 'done', record: { ...record, barred, closed, at: now } }
}

/**
 * Checks whether "not run" may still be reported to the caller. A fence that took too long to set, for example
 * because a host was frozen, no longer covers the requests sent in the meantime.
 *
 * @param record - the fenced record
 * @param now - the current time of the host that replies to the caller, in milliseconds since the epoch
 * @returns whether the fence covers every attempt sent until now
 */
export function isFenceCurrent (record: KeyRecord, now: number): boolean {
  return now + CLOCK_SKEW_MS <= record.closed
}

/**
 * Fences one attempt and all earlier ones, so that another attempt may be opened for the same request.
 *
 * @param current - the record, if there is one
 * @param key - the idempotency key
 * @param fingerprint - hash of the request body
 * @param attempt - the number of the attempt to abandon
 * @param now - the current time, in milliseconds since the epoch
 * @returns `done` if the attempt was not dispatched and never will be
 */
export function abandonAttempt (
  current: KeyRecord | undefined, key: string, fingerprint: string, attempt: number, now: number
): Decision {
  const mismatch = checkFingerprint(current, fingerprint)
  if (mismatch !== undefined) return mismatch
  const record = current ?? createRecord(key, fingerprint, now)
  if (record.place !== undefined) return { status: 'dispatched', record, place: record.place }
  return { status: 'done', record: { ...record, barred: Math.max(record.barred, attempt), at: now } }
}

/**
 * Withdraws a granted dispatch that certainly did not happen.
 *
 * @param record - the current record
 * @param responseId - the response id of the dispatch
 * @param now - the current time, in milliseconds since the epoch
 * @returns the record without the dispatch and with its attempt fenced; unchanged if it holds another dispatch
 */
export function withdrawDispatch (record: KeyRecord, responseId: string, now: number): KeyRecord {
  if (record.place?.responseId !== responseId) return record
  const barred = Math.max(record.barred, record.place.attempt)
  const withdrawn = [...record.withdrawn, responseId].slice(-MAX_WITHDRAWN_IDS)
  return { ...record, barred, place: undefined, withdrawn, at: now }
}

/**
 * Merges the records that two replicas have of a key without losing information of either. If one
 * replica fenced an attempt and the other granted its dispatch, the dispatch is retained. A withdrawn dispatch stays
 * withdrawn.
 *
 * @param a - the record of one replica
 * @param b - the record of the other, with the same fingerprint
 * @returns the merged record
 */
export function mergeRecords (a: KeyRecord, b: KeyRecord): KeyRecord {
  const withdrawn = [...new Set([...a.withdrawn, ...b.withdrawn])].slice(-MAX_WITHDRAWN_IDS)
  const locations = [a.place, b.place]
    .filter(location => location !== undefined && !withdrawn.includes(location.responseId))
  return {
    key: a.key,
    fingerprint: a.fingerprint,
    opened: Math.max(a.opened, b.opened),
    barred: Math.max(a.barred, b.barred),
    closed: Math.max(a.closed, b.closed),
    place: locations[0],
    withdrawn,
    at: Math.max(a.at, b.at)
  }
}
