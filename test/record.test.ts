import { describe, it } from 'node:test'
import { expect } from 'earl'
import {
  type DispatchLocation, fenceAttempts, grantDispatch, type KeyRecord, mergeRecords, openAttempt, reconcile,
  withdrawDispatch
} from '../src/record/index.js'

const KEY = 'acme/k1'
const PRINT = 'print'

function place (attempt: number, responseId = `resp_${attempt}`): DispatchLocation {
  return { server: 'e1', responseId, attempt }
}

function opened (now = 100): KeyRecord {
  return openAttempt(undefined, KEY, PRINT, now, now).record
}

function begun (now = 100): KeyRecord {
  const record = opened(now)
  return grantDispatch(record, KEY, PRINT, place(record.opened), now).record
}

describe('a key record', () => {
  it('numbers attempts upwards, whatever the clock does', () => {
    expect(openAttempt(opened(100), KEY, PRINT, 50, 50).record.opened).toEqual(101)
  })

  it('grants the first dispatch', () => {
    expect(grantDispatch(opened(), KEY, PRINT, place(100), 101).status).toEqual('done')
  })

  it('grants the same dispatch again, since its answer may have been lost', () => {
    expect(grantDispatch(begun(), KEY, PRINT, place(100), 102).status).toEqual('done')
  })

  it('tells a second attempt where the first was dispatched', () => {
    const ruling = grantDispatch(begun(), KEY, PRINT, place(101), 102)
    expect(ruling.status === 'dispatched' && ruling.place.responseId).toEqual('resp_100')
  })

  it('tells a new attempt on a dispatched key where it is', () => {
    expect(openAttempt(begun(), KEY, PRINT, 200, 200).status).toEqual('dispatched')
  })

  it('refuses another request under the same key', () => {
    expect(openAttempt(opened(), KEY, 'other', 200, 200).status).toEqual('mismatch')
  })

  it('denies every attempt opened before it was barred', () => {
    const barred = fenceAttempts(openAttempt(opened(), KEY, PRINT, 110, 110).record, KEY, PRINT, 120).record
    expect(grantDispatch(barred, KEY, PRINT, place(100), 130).status).toEqual('barred')
    expect(grantDispatch(barred, KEY, PRINT, place(110), 130).status).toEqual('barred')
  })

  it('grants an attempt opened after it was barred', () => {
    const barred = fenceAttempts(opened(), KEY, PRINT, 120).record
    const again = openAttempt(barred, KEY, PRINT, 5_000, 5_000).record
    expect(grantDispatch(again, KEY, PRINT, place(again.opened), 5_001).status).toEqual('done')
  })

  it('opens no attempt that arrived before it was barred, however late it comes', () => {
    const barred = fenceAttempts(opened(), KEY, PRINT, 120).record
    expect(openAttempt(barred, KEY, PRINT, 110, 9_000).status).toEqual('barred')
  })

  it('can not be barred once dispatched', () => {
    expect(fenceAttempts(begun(), KEY, PRINT, 120).status).toEqual('dispatched')
  })

  it('never grants a dispatch again that was withdrawn', () => {
    const withdrawn = withdrawDispatch(begun(), 'resp_100', 120)
    expect(grantDispatch(withdrawn, KEY, PRINT, place(999, 'resp_100'), 130).status).toEqual('barred')
  })

  it('keeps a dispatch that another holder knows of', () => {
    expect(mergeRecords(opened(), begun()).place?.responseId).toEqual('resp_100')
  })

  it('does not bring back a withdrawn dispatch from another holder', () => {
    expect(mergeRecords(withdrawDispatch(begun(), 'resp_100', 120), begun()).place).toEqual(undefined)
  })

  it('is not overwritten by a dispatch that its holder knows to be barred', () => {
    const mine = fenceAttempts(opened(), KEY, PRINT, 120).record
    expect(reconcile(mine, begun()).place).toEqual(undefined)
  })
})
