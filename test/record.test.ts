import { describe, it } from 'node:test'
import { expect } from 'earl'
import {
  type DispatchLocation, fenceAttempts, grantDispatch, type KeyRecord, mergeRecords, openAttempt, reconcile,
  withdrawDispatch
} from '../src/record/index.js'

const KEY = 'acme/k1'
const FINGERPRINT = 'print'

function dispatchLocation (attempt: number, responseId = `resp_${attempt}`): DispatchLocation {
  return { server: 'e1', responseId, attempt }
}

function openedRecord (now = 100): KeyRecord {
  return openAttempt(undefined, KEY, FINGERPRINT, now, now).record
}

function dispatchedRecord (now = 100): KeyRecord {
  const record = openedRecord(now)
  return grantDispatch(record, KEY, FINGERPRINT, dispatchLocation(record.opened), now).record
}

describe('a key record', () => {
  it('assigns increasing attempt numbers even if the clock goes back', () => {
    expect(openAttempt(openedRecord(100), KEY, FINGERPRINT, 50, 50).record.opened).toEqual(101)
  })

  it('grants the first dispatch', () => {
    expect(grantDispatch(openedRecord(), KEY, FINGERPRINT, dispatchLocation(100), 101).status).toEqual('done')
  })

  it('grants the same dispatch again, because the reply to the first grant may have been lost', () => {
    expect(grantDispatch(dispatchedRecord(), KEY, FINGERPRINT, dispatchLocation(100), 102).status).toEqual('done')
  })

  it('returns the location of the dispatch to a second attempt that asks for a grant', () => {
    const decision = grantDispatch(dispatchedRecord(), KEY, FINGERPRINT, dispatchLocation(101), 102)
    expect(decision.status === 'dispatched' && decision.place.responseId).toEqual('resp_100')
  })

  it('returns the location of the dispatch to a new attempt', () => {
    expect(openAttempt(dispatchedRecord(), KEY, FINGERPRINT, 200, 200).status).toEqual('dispatched')
  })

  it('refuses a different request with the same key', () => {
    expect(openAttempt(openedRecord(), KEY, 'other', 200, 200).status).toEqual('mismatch')
  })

  it('refuses every attempt that was opened before the fence', () => {
    const fenced =
      fenceAttempts(openAttempt(openedRecord(), KEY, FINGERPRINT, 110, 110).record, KEY, FINGERPRINT, 120).record
    expect(grantDispatch(fenced, KEY, FINGERPRINT, dispatchLocation(100), 130).status).toEqual('barred')
    expect(grantDispatch(fenced, KEY, FINGERPRINT, dispatchLocation(110), 130).status).toEqual('barred')
  })

  it('grants an attempt that was opened after the fence', () => {
    const fenced = fenceAttempts(openedRecord(), KEY, FINGERPRINT, 120).record
    const reopened = openAttempt(fenced, KEY, FINGERPRINT, 5_000, 5_000).record
    expect(grantDispatch(reopened, KEY, FINGERPRINT, dispatchLocation(reopened.opened), 5_001).status).toEqual('done')
  })

  it('opens no attempt that arrived before the fence, however late it is processed', () => {
    const fenced = fenceAttempts(openedRecord(), KEY, FINGERPRINT, 120).record
    expect(openAttempt(fenced, KEY, FINGERPRINT, 110, 9_000).status).toEqual('barred')
  })

  it('cannot be fenced once a dispatch was granted', () => {
    expect(fenceAttempts(dispatchedRecord(), KEY, FINGERPRINT, 120).status).toEqual('dispatched')
  })

  it('does not grant a withdrawn dispatch again', () => {
    const withdrawn = withdrawDispatch(dispatchedRecord(), 'resp_100', 120)
    expect(grantDispatch(withdrawn, KEY, FINGERPRINT, dispatchLocation(999, 'resp_100'), 130).status).toEqual('barred')
  })

  it('keeps a dispatch that is recorded only on another replica', () => {
    expect(mergeRecords(openedRecord(), dispatchedRecord()).place?.responseId).toEqual('resp_100')
  })

  it('does not restore a withdrawn dispatch from another replica', () => {
    expect(mergeRecords(withdrawDispatch(dispatchedRecord(), 'resp_100', 120), dispatchedRecord()).place).toEqual(undefined)
  })

  it('is not overwritten by a received dispatch whose attempt is fenced locally', () => {
    const local = fenceAttempts(openedRecord(), KEY, FINGERPRINT, 120).record
    expect(reconcile(local, dispatchedRecord()).place).toEqual(undefined)
  })
})
