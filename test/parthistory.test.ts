import { describe, it } from 'node:test'
import { expect } from 'earl'
import { parseSharedPromptParts } from '../src/forward/requestfields.js'
import { PartHistory } from '../src/poison/parthistory.js'

/** Longer than the delay between the reports of different hosts, in milliseconds. */
const LATER_MS = 1_000

function crash (history: PartHistory, count: number, parts: string[], firstServer = 0): string[] {
  let blocked: string[] = []
  for (let i = 0; i < count; i++) blocked = history.recordCrash(`s${firstServer + i}`, parts, i)
  return blocked
}

describe('the history of prompt parts', () => {
  it('blocks a part after crashes of three servers, not after three requests of one', () => {
    const history = new PartHistory()
    for (let i = 0; i < 3; i++) history.recordCrash('s', ['bad'], i)
    expect(history.isBlocked(['bad'], 3)).toEqual(false)
    expect(crash(history, 2, ['bad'])).toEqual(['bad'])
    expect(history.isBlocked(['x', 'bad'], 3)).toEqual(true)
  })

  it('blocks the part without complete responses if another one was present at the same crashes', () => {
    const history = new PartHistory()
    history.recordCompletion(['first'])
    expect(crash(history, 3, ['first', 'bad'])).toEqual(['bad'])
  })

  it('waits for two more crashes if two parts were present at the same ones', () => {
    const history = new PartHistory()
    expect(crash(history, 4, ['a', 'b'])).toEqual([])
    expect(crash(history, 1, ['a', 'b'], 9)).toEqual(['a', 'b'])
  })

  it('blocks a part that was sound before after five crashes', () => {
    const history = new PartHistory()
    history.recordCompletion(['turned'])
    expect(crash(history, 4, ['turned'])).toEqual([])
    expect(crash(history, 1, ['turned'], 9)).toEqual(['turned'])
  })

  it('accuses no other part of the crashes that a blocked part explains', () => {
    const history = new PartHistory()
    crash(history, 2, ['rare', 'bad'])
    crash(history, 1, ['bad'], 5)
    expect(history.isBlocked(['bad'], 9)).toEqual(true)
    expect(crash(history, 4, ['rare', 'bad'], 10)).toEqual([])
    expect(crash(history, 2, ['rare'], 20)).toEqual([])
  })

  it('accuses no part of requests that are reported after their crash was explained', () => {
    const history = new PartHistory()
    crash(history, 3, ['bad'])
    expect(crash(history, 3, ['late'])).toEqual([])
    expect(history.isBlocked(['late'], 9)).toEqual(false)
  })

  it('unblocks a part after a complete response', () => {
    const history = new PartHistory()
    crash(history, 3, ['a'])
    expect(history.recordCompletion(['a'])).toEqual(['a'])
    expect(history.isBlocked(['a'], 3)).toEqual(false)
  })

  // Guards against crashes that a host wrongly assumes when it alone has lost its connections to all servers.
  it('discards the crash of a server that responds later', () => {
    const history = new PartHistory()
    crash(history, 3, ['a'])
    expect(history.recordResponse('s1', 3)).toEqual([])
    expect(history.recordResponse('s1', LATER_MS)).toEqual(['a'])
    expect(history.isBlocked(['a'], LATER_MS)).toEqual(false)
  })

  it('adopts the crashes and blocked parts of another one, each server once', () => {
    const [history, other] = [new PartHistory(), new PartHistory()]
    crash(history, 2, ['a'])
    crash(other, 2, ['a'])
    crash(other, 3, ['bad'], 10)
    history.adopt(other.evidence(20), 20)
    expect(history.isBlocked(['bad'], 20)).toEqual(true)
    expect(history.isBlocked(['a'], 20)).toEqual(false)
    expect(history.recordCrash('s2', ['a'], 21)).toEqual(['a'])
    const { revision } = history
    history.adopt(other.evidence(30), 30)
    expect(history.revision).toEqual(revision)
  })

  it('stays within its maximum size', () => {
    const history = new PartHistory()
    for (let i = 0; i < 10_000; i++) {
      history.recordCrash(`s${i}`, [`p${i}`], i)
      history.recordCompletion([`q${i}`])
    }
    expect(history.evidence(0).crashes.length).toEqual(128)
  })
})

describe('the shared prompt parts of a request', () => {
  it('are all parts but the last, which belongs to the request or its session', () => {
    expect(parseSharedPromptParts('5C1e07a2:800, 91bd3f06:410,e4402b7d:250')).toEqual(['5c1e07a2', '91bd3f06'])
    expect(parseSharedPromptParts('e4402b7d:250')).toEqual([])
    expect(parseSharedPromptParts(undefined)).toEqual([])
  })
})
