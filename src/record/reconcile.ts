import { type KeyRecord, mergeRecords } from './record.js'

/**
 * Decides which record a replica stores when it receives one from the key's coordinator.
 *
 * @param local - the replica's own record, if it has one
 * @param received - the record that the coordinator sent
 * @returns the record to store and to reply with; a received dispatch whose attempt is fenced locally is not adopted
 */
export function reconcile (local: KeyRecord | undefined, received: KeyRecord): KeyRecord {
  if (local === undefined) return received
  if (local.fingerprint !== received.fingerprint) return local
  const isFenced = local.place === undefined && received.place !== undefined && received.place.attempt <= local.barred
  return isFenced ? local : mergeRecords(local, received)
}
