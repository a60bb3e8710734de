import { describe, it } from 'node:test'
import { expect } from 'earl'
import { bar, begin, type KeyRecord, merge, open, type Place, receive, withdraw } from '../src/record/index.js'

const KEY = 'acme/k1'
const PRINT = 'print'

function place (attempt: number, responseId = `resp_${attempt}`): Place {
  return { server: 'e1', responseId, attempt }
}

function opened (now = 100): KeyRecord {
  return open(undefined, KEY, PRINT, now, now).record
}

function begun (now = 100): KeyRecord {
  const record = opened(now)
  return begin(record, KEY, PRINT, place(record.opened), now).record
}

describe('a key record', () => {
  it('numbers attempts upwards, whatever the clock does', () => {
    expect(open(opened(100), KEY, PRINT, 50, 50).record.opened).toEqual(101)
  })

  it('grants the first dispatch', () => {
    expect(begin(opened(), KEY, PRINT, place(100), 101).ruling).toEqual('done')
  })

  it('grants the same dispatch again, since its answer may have been lost', () => {
    expect(begin(begun(), KEY, PRINT, place(100), 102).ruling).toEqual('done')
  })

  it('tells a second attempt where the first was dispatched', () => {
    const ruling = begin(begun(), KEY, PRINT, place(101), 102)
    expect(ruling.ruling === 'dispatched' && ruling.place.responseId).toEqual('resp_100')
  })

  it('tells a new attempt on a dispatched key where it is', () => {
    expect(open(begun(), KEY, PRINT, 200, 200).ruling).toEqual('dispatched')
  })

  it('refuses another request under the same key', () => {
    expect(open(opened(), KEY, 'other', 200, 200).ruling).toEqual('mismatch')
  })

  it('denies every attempt opened before it was barred', () => {
    const barred = bar(open(opened(), KEY, PRINT, 110, 110).record, KEY, PRINT, 120).record
    expect(begin(barred, KEY, PRINT, place(100), 130).ruling).toEqual('barred')
    expect(begin(barred, KEY, PRINT, place(110), 130).ruling).toEqual('barred')
  })

  it('grants an attempt opened after it was barred', () => {
    const barred = bar(opened(), KEY, PRINT, 120).record
    const again = open(barred, KEY, PRINT, 5_000, 5_000).record
    expect(begin(again, KEY, PRINT, place(again.opened), 5_001).ruling).toEqual('done')
  })

  it('opens no attempt that arrived before it was barred, however late it comes', () => {
    const barred = bar(opened(), KEY, PRINT, 120).record
    expect(open(barred, KEY, PRINT, 110, 9_000).ruling).toEqual('barred')
  })

  it('can not be barred once dispatched', () => {
    expect(bar(begun(), KEY, PRINT, 120).ruling).toEqual('dispatched')
  })

  it('never grants a dispatch again that was withdrawn', () => {
    const withdrawn = withdraw(begun(), 'resp_100', 120)
    expect(begin(withdrawn, KEY, PRINT, place(999, 'resp_100'), 130).ruling).toEqual('barred')
  })

  it('keeps a dispatch that another holder knows of', () => {
    expect(merge(opened(), begun()).place?.responseId).toEqual('resp_100')
  })

  it('does not bring back a withdrawn dispatch from another holder', () => {
    expect(merge(withdraw(begun(), 'resp_100', 120), begun()).place).toEqual(undefined)
  })

  it('is not overwritten by a dispatch that its holder knows to be barred', () => {
    const mine = bar(opened(), KEY, PRINT, 120).record
    expect(receive(mine, begun()).place).toEqual(undefined)
  })
})
