import { describe, it } from 'node:test'
import { expect } from 'earl'
import { bar, begin, type KeyRecord, merge, open, type Place, receive, withdraw } from '../src/record/index.js'

const KEY = 'acme/k1'
const FINGERPRINT = 'print'

function dispatchLocation (attempt: number, responseId = `resp_${attempt}`): Place {
  return { server: 'e1', responseId, attempt }
}

function openedRecord (now = 100): KeyRecord {
  return open(undefined, KEY, FINGERPRINT, now, now).record
}

function dispatchedRecord (now = 100): KeyRecord {
  const record = openedRecord(now)
  return begin(record, KEY, FINGERPRINT, dispatchLocation(record.opened), now).record
}

describe('a key record', () => {
  it('assigns increasing attempt numbers even if the clock goes back', () => {
    expect(open(openedRecord(100), KEY, FINGERPRINT, 50, 50).record.opened).toEqual(101)
  })

  it('grants the first dispatch', () => {
    expect(begin(openedRecord(), KEY, FINGERPRINT, dispatchLocation(100), 101).ruling).toEqual('done')
  })

  it('grants the same dispatch again, because the reply to the first grant may have been lost', () => {
    expect(begin(dispatchedRecord(), KEY, FINGERPRINT, dispatchLocation(100), 102).ruling).toEqual('done')
  })

  it('returns the location of the dispatch to a second attempt that asks for a grant', () => {
    const decision = begin(dispatchedRecord(), KEY, FINGERPRINT, dispatchLocation(101), 102)
    expect(decision.ruling === 'dispatched' && decision.place.responseId).toEqual('resp_100')
  })

  it('returns the location of the dispatch to a new attempt', () => {
    expect(open(dispatchedRecord(), KEY, FINGERPRINT, 200, 200).ruling).toEqual('dispatched')
  })

  it('refuses a different request with the same key', () => {
    expect(open(openedRecord(), KEY, 'other', 200, 200).ruling).toEqual('mismatch')
  })

  it('refuses every attempt that was opened before the fence', () => {
    const fenced = bar(open(openedRecord(), KEY, FINGERPRINT, 110, 110).record, KEY, FINGERPRINT, 120).record
    expect(begin(fenced, KEY, FINGERPRINT, dispatchLocation(100), 130).ruling).toEqual('barred')
    expect(begin(fenced, KEY, FINGERPRINT, dispatchLocation(110), 130).ruling).toEqual('barred')
  })

  it('grants an attempt that was opened after the fence', () => {
    const fenced = bar(openedRecord(), KEY, FINGERPRINT, 120).record
    const reopened = open(fenced, KEY, FINGERPRINT, 5_000, 5_000).record
    expect(begin(reopened, KEY, FINGERPRINT, dispatchLocation(reopened.opened), 5_001).ruling).toEqual('done')
  })

  it('opens no attempt that arrived before the fence, however late it is processed', () => {
    const fenced = bar(openedRecord(), KEY, FINGERPRINT, 120).record
    expect(open(fenced, KEY, FINGERPRINT, 110, 9_000).ruling).toEqual('barred')
  })

  it('cannot be fenced once a dispatch was granted', () => {
    expect(bar(dispatchedRecord(), KEY, FINGERPRINT, 120).ruling).toEqual('dispatched')
  })

  it('does not grant a withdrawn dispatch again', () => {
    const withdrawn = withdraw(dispatchedRecord(), 'resp_100', 120)
    expect(begin(withdrawn, KEY, FINGERPRINT, dispatchLocation(999, 'resp_100'), 130).ruling).toEqual('barred')
  })

  it('keeps a dispatch that is recorded only on another replica', () => {
    expect(merge(openedRecord(), dispatchedRecord()).place?.responseId).toEqual('resp_100')
  })

  it('does not restore a withdrawn dispatch from another replica', () => {
    expect(merge(withdraw(dispatchedRecord(), 'resp_100', 120), dispatchedRecord()).place).toEqual(undefined)
  })

  it('is not overwritten by a received dispatch whose attempt is fenced locally', () => {
    const local = bar(openedRecord(), KEY, FINGERPRINT, 120).record
    expect(receive(local, dispatchedRecord()).place).toEqual(undefined)
  })
})
